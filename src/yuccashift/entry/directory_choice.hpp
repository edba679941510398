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

/**
 * Addresses for a caller: instances of its own region; where none takes
 * callers, those of regions that may serve what the caller asks for; then any.
 */
std::vector<std::string> chooseEntries(const DirectoryView&, const RegionName& callerRegion, const std::function<bool(const RegionName&)>& mayServe, std::uint16_t port);

} // namespace yuccashift
