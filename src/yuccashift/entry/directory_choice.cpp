#include "yuccashift/entry/directory_choice.hpp"

#include <array>

namespace yuccashift {

namespace {

    /** Callers take no more addresses from one answer. */
    constexpr std::size_t mostAddresses = 64;

} // namespace

std::vector<std::string> chooseEntries(const DirectoryView& view, const RegionName& callerRegion, const std::function<RegionFitness(const RegionName&)>& fitness, std::uint16_t port)
{
    // The caller's own region, then one tier for each fitness.
    std::array<std::vector<std::string>, 4> tiers;
    const auto add = [&](const DirectoryEntry& entry) {
        if (!entry.takesCallers)
            return;
        const std::size_t tier = entry.region == callerRegion ? 0 : 1 + static_cast<std::size_t>(fitness(entry.region));
        tiers[tier].push_back(entry.ip + ":" + std::to_string(port));
    };
    add(view.self);
    for (const auto& it : view.others)
        add(it);
    for (auto& tier : tiers) {
        if (tier.empty())
            continue;
        if (tier.size() > mostAddresses)
            tier.resize(mostAddresses);
        return tier;
    }
    return {};
}

} // namespace yuccashift
