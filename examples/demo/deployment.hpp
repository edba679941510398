#pragma once

#include "tests/support/process_fleet.hpp"
#include "yuccashift/document/document.hpp"

#include <map>
#include <string>
#include <vector>

namespace yuccashift::demo {

/** What the demo needs to know of one of the example deployments. */
struct DeploymentPlan {
    std::string name;
    /** Folder of its documents below `examples/`. */
    std::string folder;
    /** Entry instances of each region, and its data centre. */
    struct Region {
        RegionName region;
        DatacentreName datacentre;
        std::size_t instances;
    };
    std::vector<Region> regions;
    ServiceName modelService;
    ServiceName plainService;
    std::string model;
    /** Organisation that may be served everywhere. */
    OrganisationName organisation;
    /** Organisation bound to the last region. */
    OrganisationName boundOrganisation;
    std::string readPath;
    std::string writePath;
    std::string prompt;
};

/** The two deployments of `examples/`. */
std::vector<DeploymentPlan> deploymentPlans();

/** A running deployment on the loopback address. */
class Deployment {
public:
    explicit Deployment(DeploymentPlan);

    const DeploymentPlan& plan() const { return m_plan; }
    test::ProcessFleet& fleet() { return m_fleet; }
    /** Instance n of a region, from 1. */
    InstanceId instanceIn(std::size_t region, std::size_t n = 1) const;
    Endpoint entry(const InstanceId&);
    /** Text of a service's document as it was published last. */
    const std::string& document(const ServiceName& service) const { return m_documents.at(service); }
    void publish(const ServiceName&, const std::string& yaml);
    /** How often a key ran on all plain servers. */
    std::uint64_t runsOf(const std::string& key) const;
    static std::string credential(const OrganisationName&);

private:
    /** Starts a stand-in for each backend server and puts its address into the document. */
    void startBackends(const ServiceName&);
    /** Waits until a request bound to the last region is served wherever it arrives. */
    bool reachEachOther();

    DeploymentPlan m_plan;
    test::ProcessFleet m_fleet;
    std::map<ServiceName, std::string> m_documents;
    std::vector<std::string> m_plainServers;
};

} // namespace yuccashift::demo
