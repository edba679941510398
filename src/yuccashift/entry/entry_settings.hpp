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

    /** Listening addresses. */
    Endpoint callers;
    Endpoint readiness;
    Endpoint directory;
    /** Metrics for operators; not served if empty. */
    std::optional<Endpoint> operators;
    /** Port for forwarded requests over TCP and heartbeats over UDP, the same on all instances. */
    std::uint16_t peerPort = 0;
    /** IPv4 addresses of some instances; the addresses of the others are learned from heartbeats. */
    std::vector<std::string> seedAddresses;

    /** The platform's store. */
    Endpoint store;

    /** Limit on the file descriptors of the process. */
    std::size_t descriptors = 1024;

    /** Maximum time from SIGTERM to the end of the process. */
    Duration stopGrace = seconds(8);
    /** Maximum time for which callers may use a directory answer. */
    Duration directoryValidity = seconds(5);
    RepeatBound repeats;
};

} // namespace yuccashift
