#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace yuccashift {

/** An instance that the directory may name to callers. */
struct DirectoryEntry {
    RegionName region;
    std::string ip;
    bool takesCallers = false;
};

/** The instances that a directory answer is chosen from. */
struct DirectoryView {
    DirectoryEntry self;
    /** Other instances with a recent heartbeat. */
    std::vector<DirectoryEntry> others;
};

/** Returns the share of the callers' requests that a region may serve, from 0 to 1. */
using RegionScore = std::function<double(const RegionName&)>;

/**
 * Chooses the addresses for a caller: the instances of its region that accept
 * callers or, if there are none, those of the regions with the highest fitness.
 * Empty if no instance accepts callers.
 */
std::vector<std::string> chooseAddresses(const DirectoryView&, const RegionName& callerRegion, const RegionScore&, std::uint16_t port);

} // namespace yuccashift
