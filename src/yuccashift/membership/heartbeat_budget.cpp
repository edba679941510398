#include "yuccashift/membership/heartbeat_budget.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift {

namespace {

    constexpr Duration intervalPerMember = milliseconds(50);
    constexpr Duration minInterval = milliseconds(500);
    constexpr Duration maxInterval = milliseconds(2500);

    // Encoded bytes of one entry, rounded up.
    constexpr std::size_t summaryBytes = 36;
    constexpr std::size_t demandBytes = 20;

    // Shares of a heartbeat's entry bytes by kind of entry.
    constexpr double summaryShare = 0.66;
    constexpr double demandShare = 0.14;
    constexpr double regionDemandShare = 0.2;

    // Limit for the entries of one heartbeat, which applies in small regions.
    constexpr std::size_t maxEntryBytes = 800;

    std::size_t entriesWithin(double bytes, std::size_t entryBytes)
    {
        return std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(bytes / static_cast<double>(entryBytes))));
    }

} // namespace

Duration heartbeatInterval(std::size_t regionMembers)
{
    return std::clamp<Duration>(intervalPerMember * static_cast<std::int64_t>(regionMembers), minInterval, maxInterval);
}

HeartbeatBudget regionBudget(std::size_t regionMembers)
{
    const std::chrono::duration<double> interval = heartbeatInterval(regionMembers);
    const auto receivers = static_cast<double>(std::max<std::size_t>(regionMembers, 2) - 1);
    const auto heartbeatBytes = regionBytesPerSecond * interval.count() / receivers;
    const auto availableBytes = std::clamp(heartbeatBytes - static_cast<double>(heartbeatBaseBytes), 0.0, static_cast<double>(maxEntryBytes));
    HeartbeatBudget budget;
    budget.summaries = entriesWithin(availableBytes * summaryShare, summaryBytes);
    budget.demands = entriesWithin(availableBytes * demandShare, demandBytes);
    budget.regionDemands = entriesWithin(availableBytes * regionDemandShare, demandBytes);
    // These entries are rare, so they may exceed the byte budget for a moment.
    budget.quarantine = 2;
    budget.members = 2;
    budget.revisions = 4;
    return budget;
}

HeartbeatBudget crossRegionBudget()
{
    HeartbeatBudget budget;
    budget.summaries = 24;
    budget.regionDemands = 8;
    budget.quarantine = 4;
    budget.members = 8;
    budget.revisions = 8;
    return budget;
}

} // namespace yuccashift
