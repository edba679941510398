#include "yuccashift/config/watcher_selection.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>
#include <array>

namespace yuccashift {

namespace {

    std::uint64_t selectionSeed(const RegionName& region)
    {
        const std::array<std::string_view, 2> parts { "config-watcher", region };
        return hash64(parts);
    }

    // Not larger, because all instances may have full buckets when an event makes them all read at once.
    constexpr double maxTokens = 1;

} // namespace

std::vector<InstanceId> chooseWatchers(const RegionName& region, std::span<const InstanceId> live, std::size_t count)
{
    return rendezvousTop(selectionSeed(region), live, count);
}

bool isWatcher(const InstanceId& self, const RegionName& region, std::span<const InstanceId> live, std::size_t count)
{
    const auto watchers = chooseWatchers(region, live, count);
    return std::ranges::find(watchers, self) != watchers.end();
}

std::vector<InstanceId> strongestCandidates(std::span<const WatcherCandidate> candidates, std::size_t count)
{
    std::vector<double> capacities;
    for (const auto& it : candidates)
        capacities.push_back(it.capacity);
    std::ranges::sort(capacities, std::greater());
    const double required = capacities.size() < count ? 0 : capacities[count - 1] / 2;
    std::vector<InstanceId> strongest;
    for (const auto& it : candidates) {
        if (it.capacity >= required)
            strongest.push_back(it.instance);
    }
    return strongest;
}

Duration pollInterval(std::size_t instancesInRegion)
{
    constexpr Duration shortest = milliseconds(2500);
    constexpr Duration perInstance = milliseconds(400);
    return std::max(shortest, perInstance * static_cast<std::int64_t>(instancesInRegion));
}

Duration nextPollDelay(const PollTiming& timing, std::uint32_t failures, RandomSource& random)
{
    constexpr std::uint32_t maxDoublings = 16;
    const auto delay = timing.interval * (std::int64_t { 1 } << std::min(failures, maxDoublings));
    const auto maxDelay = std::max(timing.interval, timing.maxBackOff);
    const auto factor = 1 - timing.jitter + 2 * timing.jitter * random.uniformReal();
    return std::chrono::duration_cast<Duration>(std::min<Duration>(delay, maxDelay) * factor);
}

ReadPacer::ReadPacer(Instant now, std::size_t instanceCount)
    : m_instanceCount(std::max<std::size_t>(instanceCount, 1))
    , m_refilledAt(now)
{
}

void ReadPacer::setInstanceCount(std::size_t instanceCount)
{
    // An instance list that is incomplete by mistake must not raise the rate of all instances at once.
    m_instanceCount = std::max(instanceCount, m_instanceCount / 2 + 1);
}

double ReadPacer::ratePerSecond() const
{
    return fleetReadsPerSecond * plannedReadShare / static_cast<double>(m_instanceCount);
}

void ReadPacer::refill(Instant now)
{
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_tokens = std::min(maxTokens, m_tokens + std::max(0.0, elapsed.count()) * ratePerSecond());
    m_refilledAt = std::max(m_refilledAt, now);
}

Duration ReadPacer::reserve(Instant now)
{
    refill(now);
    if (m_tokens >= 1) {
        m_tokens -= 1;
        return Duration::zero();
    }
    const std::chrono::duration<double> wait((1 - m_tokens) / ratePerSecond());
    return std::chrono::ceil<milliseconds>(wait);
}

} // namespace yuccashift
