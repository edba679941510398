#include "yuccashift/membership/region_links.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>
#include <array>

namespace yuccashift {

namespace {

    std::uint64_t purposeOf(std::string_view side, const RegionName& from, const RegionName& to)
    {
        const std::array<std::string_view, 3> parts { side, from, to };
        return hash64(parts);
    }

} // namespace

std::optional<InstanceId> selectCrossRegionReceiver(const InstanceId& self, const RegionName& from, const RegionName& to,
    std::span<const InstanceId> live, std::span<const InstanceId> remote, std::uint64_t round, SenderSelection turn)
{
    const auto speakers = rendezvousTop(purposeOf("speaker", from, to), live, sendersPerRegionPair);
    const auto it = std::ranges::find(speakers, self);
    if (it == speakers.end() || remote.empty())
        return std::nullopt;
    const auto listeners = rendezvousTop(purposeOf("listener", from, to), remote, sendersPerRegionPair);
    const auto position = static_cast<std::uint64_t>(it - speakers.begin());
    // Rounds of different instances are not in step; over time each has its share all the same.
    if (turn == SenderSelection::RoundRobin && (round + position) % speakers.size() != 0)
        return std::nullopt;
    return listeners[(position + round / speakers.size()) % listeners.size()];
}

} // namespace yuccashift
