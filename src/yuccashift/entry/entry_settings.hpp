#pragma once

#include "yuccashift/dispatch/repeat_allowance.hpp"
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

    Endpoint callers;
    Endpoint readiness;
    Endpoint directory;
    /** Status and metrics. */
    std::optional<Endpoint> operators;
    /** Port for hops over TCP and heartbeats over UDP, the same on all instances. */
    std::uint16_t peerPort = 0;
    /** Addresses of some instances, from which the others are learned. */
    std::vector<std::string> seedAddresses;

    /** The platform's store. */
    Endpoint store;

    /** Descriptors of the process. */
    std::size_t descriptors = 1024;

    /** From SIGTERM to the end of the process at the latest. */
    Duration stopGrace = seconds(8);
    /** Longest time for which a directory answer counts with callers. */
    Duration directoryValidity = seconds(5);
    RepeatBound repeats;
};

} // namespace yuccashift
