#pragma once

#include "yuccashift/kernel/ids.hpp"
#include "yuccashift/kernel/random.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace yuccashift {

/** An instance that the directory may name to callers. */
struct DirectoryEntry {
    RegionName region;
    DatacentreName datacentre;
    std::string ip;
    bool takesCallers = false;
    /** Whether it has links to the servers of its region. */
    bool reachesServers = true;
};

/** The instances that a directory answer is chosen from. */
struct DirectoryView {
    DirectoryEntry self;
    /** Other instances with a recent heartbeat. */
    std::vector<DirectoryEntry> others;
};

/** Returns the share of the callers' requests that a region may serve, from 0 to 1. */
using RegionScore = std::function<double(const RegionName&)>;

/** Where a caller is. */
struct CallerLocation {
    RegionName region;
    DatacentreName datacentre;
};

/**
 * Chooses the addresses for a caller: the instances of its data centre that accept callers if there are many,
 * else all of its region or, if there are none, those of the regions with the highest fitness. A region of which no
 * instance reaches a server counts as one without instances as long as others do. If there are more than callers use, the choice among them is random. Empty if no instance accepts callers.
 */
std::vector<std::string> chooseAddresses(const DirectoryView&, const CallerLocation&, const RegionScore&, std::uint16_t port, RandomSource&);

} // namespace yuccashift
