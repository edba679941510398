#include "yuccashift/entry/directory_choice.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** Callers take no more addresses from one answer. */
    constexpr std::size_t mostAddresses = 64;
    /** Regions whose fitness differs by less suit equally well. */
    constexpr double equalFitness = 0.05;

    std::string addressOf(const DirectoryEntry& entry, std::uint16_t port)
    {
        return entry.ip + ":" + std::to_string(port);
    }

} // namespace

std::vector<std::string> chooseAddresses(const DirectoryView& view, const RegionName& callerRegion, const RegionScore& fitness, std::uint16_t port)
{
    auto takers = view.others;
    takers.push_back(view.self);
    std::erase_if(takers, [](const DirectoryEntry& it) { return !it.takesCallers; });
    std::vector<std::string> near;
    double best = 0;
    for (const auto& it : takers) {
        if (it.region == callerRegion)
            near.push_back(addressOf(it, port));
        best = std::max(best, fitness(it.region));
    }
    if (near.empty()) {
        for (const auto& it : takers) {
            if (fitness(it.region) > best - equalFitness)
                near.push_back(addressOf(it, port));
        }
    }
    if (near.size() > mostAddresses)
        near.resize(mostAddresses);
    return near;
}

} // namespace yuccashift
