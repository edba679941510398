#include "yuccashift/entry/directory_choice.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** Callers use at most this many addresses of one answer. */
    constexpr std::size_t maxAddresses = 64;
    /** From this many instances on, a data centre bears the loss of some of them without help. */
    constexpr std::ptrdiff_t minInstancesOfDatacentre = 8;
    /** Regions whose fitness differs by less than this are considered equal. */
    constexpr double fitnessTolerance = 0.05;

    std::string addressOf(const DirectoryEntry& entry, std::uint16_t port)
    {
        return entry.ip + ":" + std::to_string(port);
    }

} // namespace

std::vector<std::string> chooseAddresses(const DirectoryView& view, const CallerLocation& caller, const RegionScore& fitness, std::uint16_t port, RandomSource& random)
{
    auto candidates = view.others;
    candidates.push_back(view.self);
    std::erase_if(candidates, [](const DirectoryEntry& it) { return !it.takesCallers; });
    // Such instances can only forward, over links that may fail too; their callers can connect to the other regions themselves.
    const bool regionIsCutOff = std::ranges::none_of(candidates, [&](const auto& it) { return it.region == caller.region && it.reachesServers; });
    if (regionIsCutOff && std::ranges::any_of(candidates, &DirectoryEntry::reachesServers))
        std::erase_if(candidates, [](const DirectoryEntry& it) { return !it.reachesServers; });
    const auto isNear = [&](const DirectoryEntry& it) { return it.region == caller.region && it.datacentre == caller.datacentre; };
    const bool manyNear = std::ranges::count_if(candidates, isNear) >= minInstancesOfDatacentre;
    std::vector<std::string> addresses;
    double best = 0;
    for (const auto& it : candidates) {
        if (manyNear ? isNear(it) : it.region == caller.region)
            addresses.push_back(addressOf(it, port));
        best = std::max(best, fitness(it.region));
    }
    if (addresses.empty()) {
        for (const auto& it : candidates) {
            if (fitness(it.region) > best - fitnessTolerance)
                addresses.push_back(addressOf(it, port));
        }
    }
    for (std::size_t n = 0; addresses.size() > maxAddresses && n < maxAddresses; ++n)
        std::swap(addresses[n], addresses[n + random.uniformBelow(addresses.size() - n)]);
    if (addresses.size() > maxAddresses)
        addresses.resize(maxAddresses);
    return addresses;
}

} // namespace yuccashift
