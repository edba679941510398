#include "yuccashift/membership/load_group.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    constexpr Duration minInterval = milliseconds(500);
    constexpr Duration maxInterval = milliseconds(5000);

} // namespace

std::vector<InstanceId> loadGroupPeers(const InstanceId& self, const RegionName& region, std::span<const InstanceId> live)
{
    auto order = rendezvousOrder(hash64(region), live);
    const auto it = std::ranges::find(order, self);
    if (it == order.end())
        return {};
    const auto position = static_cast<std::size_t>(it - order.begin());
    const std::size_t groupCount = (order.size() + maxLoadGroupSize - 1) / maxLoadGroupSize;
    const auto groupOf = [&](std::size_t n) { return n * groupCount / order.size(); };
    std::vector<InstanceId> group;
    for (std::size_t n = 0; n < order.size(); ++n) {
        if (n != position && groupOf(n) == groupOf(position))
            group.push_back(std::move(order[n]));
    }
    return group;
}

Duration loadReportInterval(std::size_t receivers, std::size_t bytes)
{
    const std::chrono::duration<double> interval(static_cast<double>(receivers * bytes) / loadReportBytesPerSecond);
    return std::clamp(std::chrono::duration_cast<Duration>(interval), minInterval, maxInterval);
}

} // namespace yuccashift
