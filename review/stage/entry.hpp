#pragma once

#include "review/stage/net.hpp"

#include <map>
#include <sys/types.h>

namespace stage {

/** Ports that all machines of a deployment use. */
struct Ports {
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t directory = 0;
    std::uint16_t control = 0;
    std::uint16_t peers = 0;
};

/** Draws ports that are free at all the addresses. */
Ports freePorts(const std::vector<std::string>& ips);

/** A machine of the deployment. */
struct Machine {
    std::string name;
    std::string ip;
    std::string zone;
    std::string region;
};

/** What is the same on all machines. */
struct Deployment {
    /** Region by zone. */
    std::map<std::string, std::string> zones;
    std::vector<Machine> machines;
    std::string storeAddress;
    Ports ports;
    /** The program of the deploy file, as started in the repository's root. */
    std::string program;
    /** Folder for settings and logs. */
    std::string folder;
};

/** A process of the system on one machine. Killed at the end of the object's life. */
class Entry {
public:
    Entry(const Deployment& deployment, const Machine& machine);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    /** Starts the process with the settings file of the platform. */
    void start();
    /** Sends a signal to the process. */
    void signal(int number) const;
    bool waitReady(std::chrono::seconds limit) const;
    /** Ends the process at once. */
    void end();
    /** Whether the process has ended by itself. */
    bool ended();
    const Machine& machine() const { return m_machine; }

private:
    std::string settings() const;

    const Deployment& m_deployment;
    Machine m_machine;
    bool m_startedBefore = false;
    pid_t m_pid = -1;
};

} // namespace stage
