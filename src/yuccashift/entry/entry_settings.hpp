#pragma once

#include "yuccashift/dispatch/fleet_retry_budget.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"
#include "yuccashift/limits/fleet_limits.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccashift {

/** Settings of one entry instance. */
struct EntrySettings {
    InstanceId instance;
    RegionName region;
    DatacentreName datacentre;
    std::string ip;
    /** Whether the whole system starts for the first time, so that no caller can have had an answer of it before. */
    bool firstStart = false;
    /** Region of each data centre. */
    std::map<DatacentreName, RegionName> regions;

    /** Listening addresses. */
    Endpoint callerEndpoint;
    Endpoint readinessEndpoint;
    Endpoint directoryEndpoint;
    /** Metrics for operators; not served if empty. */
    std::optional<Endpoint> operatorEndpoint;
    /** Port for forwarded requests over TCP and heartbeats over UDP, the same on all instances. */
    std::uint16_t peerPort = 0;
    /** IPv4 addresses of some instances; the addresses of the others are learned from heartbeats. */
    std::vector<std::string> seedAddresses;

    /** The platform's store. */
    Endpoint storeEndpoint;

    /** Processor cores, or a share of one, that the machine grants this process. */
    double processorCores = 1;
    /** Bandwidth of the machine's link in Mbit/s. */
    double linkMbps = 1000;
    /** Capacity for requests of other instances, in cores; a slow link bounds it like a slow processor. */
    double capacityForPeers() const { return std::min(processorCores, linkMbps / linkMbpsPerCore); }
    /** Link bandwidth that forwarded requests use while they take a whole core. */
    static constexpr double linkMbpsPerCore = 200;
    /** Memory that the process may use, with what the kernel keeps for its connections, in bytes. */
    std::size_t memoryBytes = std::size_t { 256 } << 20;
    /** Limit on the file descriptors of the process. */
    std::size_t maxFileDescriptors = 1024;

    /** Maximum time from SIGTERM to the end of the process. */
    Duration shutdownGrace = seconds(8);
    /** Maximum time for which callers may use a directory answer. */
    Duration maxDirectoryTtl = seconds(5);
    RetryBudgetLimits retryBudgetLimits;
    LimitTolerance limitTolerance;
};

} // namespace yuccashift
