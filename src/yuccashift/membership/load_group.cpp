#include "yuccashift/membership/load_group.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    constexpr Duration shortestInterval = milliseconds(500);
    constexpr Duration longestInterval = milliseconds(5000);

} // namespace

std::vector<InstanceId> loadGroupPeers(const InstanceId& self, const RegionName& region, std::span<const InstanceId> live)
{
    auto order = rendezvousOrder(hash64(region), live);
    const auto it = std::ranges::find(order, self);
    if (it == order.end())
        return {};
    const auto position = static_cast<std::size_t>(it - order.begin());
    const std::size_t cells = (order.size() + maxLoadGroupSize - 1) / maxLoadGroupSize;
    const auto cellOf = [&](std::size_t n) { return n * cells / order.size(); };
    std::vector<InstanceId> cell;
    for (std::size_t n = 0; n < order.size(); ++n) {
        if (n != position && cellOf(n) == cellOf(position))
            cell.push_back(std::move(order[n]));
    }
    return cell;
}

Duration loadReportInterval(std::size_t receivers, std::size_t bytes)
{
    const std::chrono::duration<double> interval(static_cast<double>(receivers * bytes) / loadReportBytesPerSecond);
    return std::clamp(std::chrono::duration_cast<Duration>(interval), shortestInterval, longestInterval);
}

} // namespace yuccashift
