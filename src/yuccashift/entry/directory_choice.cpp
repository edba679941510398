#include "yuccashift/entry/directory_choice.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** Callers use at most this many addresses of one answer. */
    constexpr std::size_t maxAddresses = 64;
    /** Regions whose fitness differs by less than this are considered equal. */
    constexpr double fitnessTolerance = 0.05;

    std::string addressOf(const DirectoryEntry& entry, std::uint16_t port)
    {
        return entry.ip + ":" + std::to_string(port);
    }

} // namespace

std::vector<std::string> chooseAddresses(const DirectoryView& view, const RegionName& callerRegion, const RegionScore& fitness, std::uint16_t port)
{
    auto candidates = view.others;
    candidates.push_back(view.self);
    std::erase_if(candidates, [](const DirectoryEntry& it) { return !it.takesCallers; });
    std::vector<std::string> addresses;
    double best = 0;
    for (const auto& it : candidates) {
        if (it.region == callerRegion)
            addresses.push_back(addressOf(it, port));
        best = std::max(best, fitness(it.region));
    }
    if (addresses.empty()) {
        for (const auto& it : candidates) {
            if (fitness(it.region) > best - fitnessTolerance)
                addresses.push_back(addressOf(it, port));
        }
    }
    if (addresses.size() > maxAddresses)
        addresses.resize(maxAddresses);
    return addresses;
}

} // namespace yuccashift
