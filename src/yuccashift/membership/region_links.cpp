#include "yuccashift/membership/region_links.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>
#include <array>

namespace yuccashift {

namespace {

    std::uint64_t rendezvousKey(std::string_view side, const RegionName& from, const RegionName& to)
    {
        const std::array<std::string_view, 3> parts { side, from, to };
        return hash64(parts);
    }

} // namespace

std::optional<InstanceId> selectCrossRegionReceiver(const InstanceId& self, const RegionName& from, const RegionName& to,
    std::span<const InstanceId> live, std::span<const InstanceId> remote, std::uint64_t round, SenderSelection selection)
{
    const auto senders = rendezvousTop(rendezvousKey("speaker", from, to), live, sendersPerRegionPair);
    const auto it = std::ranges::find(senders, self);
    if (it == senders.end() || remote.empty())
        return std::nullopt;
    const auto receivers = rendezvousTop(rendezvousKey("listener", from, to), remote, sendersPerRegionPair);
    const auto position = static_cast<std::uint64_t>(it - senders.begin());
    // The rounds of different instances are not synchronized, but over time each still sends its share.
    if (selection == SenderSelection::RoundRobin && (round + position) % senders.size() != 0)
        return std::nullopt;
    return receivers[(position + round / senders.size()) % receivers.size()];
}

} // namespace yuccashift
