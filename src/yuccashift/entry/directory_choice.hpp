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

/** Which routes a region may serve. Callers use one answer for several hosts. */
enum class RegionFitness {
    AllRoutes,
    /** Those of the host that was asked for. */
    ItsHost,
    Some,
};

/**
 * Addresses for a caller: instances of its own region; where none takes
 * callers, those of the regions that fit best.
 */
std::vector<std::string> chooseEntries(const DirectoryView&, const RegionName& callerRegion, const std::function<RegionFitness(const RegionName&)>& fitness, std::uint16_t port);

} // namespace yuccashift
