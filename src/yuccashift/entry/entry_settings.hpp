#pragma once

#include "yuccashift/dispatch/fleet_retry_budget.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

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
    /** Region of each data centre. */
    std::map<DatacentreName, RegionName> regions;

    Endpoint callerEndpoint;
    Endpoint readinessEndpoint;
    Endpoint directoryEndpoint;
    /** Status and metrics. */
    std::optional<Endpoint> operatorEndpoint;
    /** Port for hops over TCP and heartbeats over UDP, the same on all instances. */
    std::uint16_t peerPort = 0;
    /** Addresses of some instances, from which the others are learned. */
    std::vector<std::string> seedAddresses;

    /** The platform's store. */
    Endpoint storeEndpoint;

    /** Descriptors of the process. */
    std::size_t maxFileDescriptors = 1024;

    /** From SIGTERM to the end of the process at the latest. */
    Duration shutdownGrace = seconds(8);
    /** Longest time for which a directory answer counts with callers. */
    Duration maxDirectoryTtl = seconds(5);
    RetryBudgetLimits retryBudget;
};

} // namespace yuccashift
