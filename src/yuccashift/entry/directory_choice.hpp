#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace yuccashift {

/** One instance as the directory sees it. */
struct DirectoryEntry {
    RegionName region;
    std::string ip;
    bool takesCallers = false;
};

struct DirectoryView {
    DirectoryEntry self;
    /** Instances heard lately. */
    std::vector<DirectoryEntry> others;
};

/** How well a region suits the callers' requests, from 0 to 1. */
using RegionScore = std::function<double(const RegionName&)>;

/**
 * Addresses for a caller: instances of its own region; where none takes
 * callers, those of the regions that suit it best.
 */
std::vector<std::string> chooseAddresses(const DirectoryView&, const RegionName& callerRegion, const RegionScore&, std::uint16_t port);

} // namespace yuccashift
