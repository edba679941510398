#pragma once

#include "tests/support/child_process.hpp"
#include "tests/support/http_call.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yuccashift::test {

/** A running stand-in process and the endpoint it listens on. */
struct RunningStandin {
    std::unique_ptr<ChildProcess> process;
    Endpoint endpoint;
};

/** Starts a stand-in from this build, writes its output to `folder` and waits until it listens. */
RunningStandin startListening(const std::string& pathBelowBuild, const std::vector<std::string>& arguments, const std::string& folder, const std::string& name);

/** Settings of an entry instance to start. */
struct InstanceSpec {
    InstanceId instance;
    RegionName region;
    DatacentreName datacentre;
    /** Additional lines for the settings file. */
    std::string moreSettings;
};

/** A running entry instance and the endpoints of its listeners. */
struct RunningInstance {
    InstanceSpec spec;
    std::unique_ptr<ChildProcess> process;
    Endpoint callers;
    Endpoint peers;
    Endpoint operators;
};

/**
 * Real instances and stand-ins on free ports of the loopback address. The
 * destructor ends all of them.
 */
class ProcessFleet {
public:
    explicit ProcessFleet(const std::string& name);
    ~ProcessFleet();
    ProcessFleet(const ProcessFleet&) = delete;
    ProcessFleet& operator=(const ProcessFleet&) = delete;

    /** Starts a stand-in `program`, such as `engine`, and registers it as `name`. */
    Endpoint startStandin(const std::string& name, const std::string& program, const std::vector<std::string>& arguments = {});
    /** Kills a stand-in. */
    void killStandin(const std::string& name);
    Endpoint standin(const std::string& name) const;
    /** Posts `body` to a control path of a stand-in; throws if the stand-in rejects it. */
    void control(const std::string& name, const std::string& path, const std::string& body);
    /** The JSON object that a stand-in returns for `path`, which lies below `/control/`. */
    boost::json::object read(const std::string& name, const std::string& path) const;

    /** Starts or restarts an instance and publishes the list of instances. */
    RunningInstance& startInstance(const InstanceSpec&);
    /** Kills an instance if it still runs and removes it from the list of instances. */
    void removeInstance(const InstanceId&);
    RunningInstance& instance(const InstanceId&);
    std::vector<InstanceId> instances() const;
    /** Publishes the list of all instances with their endpoints. */
    void publishInstances();
    /** Waits until the given instances report ready; an empty vector means all instances. */
    bool waitReady(const std::vector<InstanceId>& instances = {});
    /** Waits until the given instances hold this revision; an empty vector means all instances. */
    bool waitForRevision(const ServiceName&, Revision, const std::vector<InstanceId>& instances = {});

    /** Publishes a document, or makes a lagging service hold it. */
    void publishDocument(const ServiceName&, const std::string& yaml);
    /** The `status` object of an instance; an empty object if the instance does not answer. */
    boost::json::object status(const InstanceId&);
    /** Revision of the document that an instance applies for a service; 0 if it has none. */
    Revision revisionAt(const InstanceId&, const ServiceName&);

    const std::string& operatorToken() const;
    /** Path of an executable of this build. */
    static std::string program(const std::string& pathBelowBuild);
    /** Path of the folder that receives the output of this fleet's processes. */
    const std::string& folder() const { return m_folder; }

private:
    std::string settingsOf(const InstanceSpec&) const;
    std::vector<InstanceId> orAll(const std::vector<InstanceId>&) const;

    std::string m_folder;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_standins;
    std::map<std::string, Endpoint> m_endpoints;
    std::map<InstanceId, RunningInstance> m_instances;
    unsigned m_runs = 0;
};

} // namespace yuccashift::test
