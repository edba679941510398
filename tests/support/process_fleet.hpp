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

/** A stand-in that listens. */
struct RunningStandin {
    std::unique_ptr<ChildProcess> process;
    Endpoint endpoint;
};

/** Starts a stand-in of this build, its output in the folder, and waits until it listens. */
RunningStandin startListening(const std::string& pathBelowBuild, const std::vector<std::string>& arguments, const std::string& folder, const std::string& name);

/** One entry instance to start. */
struct InstanceSpec {
    InstanceId instance;
    RegionName region;
    DatacentreName datacentre;
    /** More lines of settings. */
    std::string moreSettings;
};

/** A running entry instance and its listeners. */
struct RunningInstance {
    InstanceSpec spec;
    std::unique_ptr<ChildProcess> process;
    Endpoint callers;
    Endpoint peers;
    Endpoint operators;
};

/**
 * Real instances and stand-ins on free ports of the loopback address. All of
 * them end with the object.
 */
class ProcessFleet {
public:
    explicit ProcessFleet(const std::string& name);
    ~ProcessFleet();
    ProcessFleet(const ProcessFleet&) = delete;
    ProcessFleet& operator=(const ProcessFleet&) = delete;

    /** Starts a stand-in, such as `engine`, under a name of its own. */
    Endpoint startStandin(const std::string& name, const std::string& program, const std::vector<std::string>& arguments = {});
    /** Ends a stand-in at once. */
    void killStandin(const std::string& name);
    Endpoint standin(const std::string& name) const;
    /** Turns one of a stand-in's switches; throws where it refuses. */
    void control(const std::string& name, const std::string& path, const std::string& body);
    /** What a stand-in answers below `/control/`. */
    boost::json::object read(const std::string& name, const std::string& path) const;

    /** Starts an instance, or one more run of it, and publishes the list. */
    RunningInstance& startInstance(const InstanceSpec&);
    /** Ends an instance at once where it still runs, and takes it off the list. */
    void removeInstance(const InstanceId&);
    RunningInstance& instance(const InstanceId&);
    std::vector<InstanceId> instances() const;
    /** Publishes where all instances are. */
    void publishInstances();
    /** Waits until these instances, or all, say that they are ready. */
    bool waitReady(const std::vector<InstanceId>& instances = {});
    /** Waits until the instances alive hold this revision. */
    bool waitForRevision(const ServiceName&, Revision, const std::vector<InstanceId>& instances = {});

    /** Publishes a document, or makes a lagging service hold it. */
    void publishDocument(const ServiceName&, const std::string& yaml);
    /** What `status` of an instance says; empty where it does not answer. */
    boost::json::object status(const InstanceId&);
    /** Revision of a document in force at an instance; 0 where it has none. */
    Revision revisionAt(const InstanceId&, const ServiceName&);

    const std::string& operatorToken() const;
    /** Path of a program of this build. */
    static std::string program(const std::string& pathBelowBuild);
    /** Path of an output folder for this fleet's programs. */
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
