#pragma once

#include "tests/support/process_fleet.hpp"
#include "yuccashift/document/document.hpp"

#include <map>
#include <string>
#include <vector>

namespace yuccashift::demo {

/** Parameters of an example deployment that the demo uses. */
struct DeploymentPlan {
    std::string name;
    /** Directory of its documents below `examples/`. */
    std::string folder;
    /** A region with its data centre and number of entry instances. */
    struct Region {
        RegionName region;
        DatacentreName datacentre;
        std::size_t instances;
    };
    std::vector<Region> regions;
    ServiceName modelService;
    ServiceName plainService;
    std::string model;
    /** Organisation that any region may serve. */
    OrganisationName organisation;
    /** Organisation that only the last region may serve. */
    OrganisationName boundOrganisation;
    std::string readPath;
    std::string writePath;
    std::string prompt;
};

/** Returns the two deployments in `examples/`. */
std::vector<DeploymentPlan> deploymentPlans();

/** A running deployment on the loopback address. */
class Deployment {
public:
    explicit Deployment(DeploymentPlan);

    const DeploymentPlan& plan() const { return m_plan; }
    test::ProcessFleet& fleet() { return m_fleet; }
    /** Returns instance n of a region; n counts from 1, regions from 0. */
    InstanceId instanceIn(std::size_t region, std::size_t n = 1) const;
    Endpoint entry(const InstanceId&);
    /** Returns the text of a service's document as last published. */
    const std::string& document(const ServiceName& service) const { return m_documents.at(service); }
    void publish(const ServiceName&, const std::string& yaml);
    /** Returns how often an idempotency key was executed, summed over all plain servers. */
    std::uint64_t runsOf(const std::string& key) const;
    static std::string credential(const OrganisationName&);

private:
    /** Starts a stand-in for each backend server of a service and writes its address into the document. */
    void startBackends(const ServiceName&);
    /** Waits until every instance serves a request bound to the last region; returns false on a timeout. */
    bool waitUntilConnected();

    DeploymentPlan m_plan;
    test::ProcessFleet m_fleet;
    std::map<ServiceName, std::string> m_documents;
    std::vector<std::string> m_plainServers;
};

} // namespace yuccashift::demo
