#include "yuccashift/routing/region_load_tracker.hpp"

#include "yuccashift/routing/latency_model.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    /** Sent requests are kept for this long if no summary arrives; also the age of an unknown summary. */
    constexpr Duration historyLifetime = seconds(10);

    Duration scale(Duration duration, double factor)
    {
        return std::chrono::duration_cast<Duration>(duration * factor);
    }

    template <typename Summary>
    void dropSentUntil(Summary& summary, Instant instant)
    {
        while (!summary.sent.empty() && summary.sent.front() <= instant)
            summary.sent.pop_front();
    }

} // namespace

RegionLoad aggregateLoad(std::span<const BackendState> states, Instant now)
{
    RegionLoad load;
    double occupancy = 0;
    Duration totalServiceTime {};
    std::uint32_t measured = 0;
    for (const auto& state : states) {
        if (state.leaving || state.ejected || !state.modelLoaded || state.role == BackendRole::Prefill)
            continue;
        load.slots += state.slots;
        occupancy += estimatedOccupancy(state, now);
        if (state.meanServiceTime > Duration::zero()) {
            totalServiceTime += state.meanServiceTime;
            ++measured;
        }
    }
    if (measured > 0)
        load.meanServiceTime = totalServiceTime / measured;
    load.busySlots = static_cast<std::uint32_t>(std::min<double>(load.slots, occupancy));
    if (load.slots > 0 && occupancy > load.slots)
        load.queueWait = scale(load.meanServiceTime, (occupancy - load.slots) / load.slots);
    return load;
}

RegionLoadTracker::RegionLoadTracker(RegionLoadTrackerSettings settings)
    : m_settings(std::move(settings))
{
}

void RegionLoadTracker::onSummary(const RegionName& region, const ServiceName& service, const RegionLoad& load, Instant takenAt)
{
    const std::lock_guard lock(m_mutex);
    auto& summary = m_regions[region].services[service];
    if (takenAt <= summary.takenAt)
        return;
    summary.load = load;
    summary.takenAt = takenAt;
    dropSentUntil(summary, takenAt);
}

void RegionLoadTracker::onSent(const RegionName& region, const ServiceName& service, Instant now)
{
    const std::lock_guard lock(m_mutex);
    auto& summary = m_regions[region].services[service];
    summary.sent.push_back(now);
    dropSentUntil(summary, now - historyLifetime);
}

void RegionLoadTracker::onReachable(const RegionName& name, bool reachable, Instant now)
{
    const std::lock_guard lock(m_mutex);
    auto& region = m_regions[name];
    if (reachable && !region.reachable)
        region.returnedAt = now;
    region.reachable = reachable;
}

void RegionLoadTracker::onRoundTrip(const RegionName& region, Duration roundTrip)
{
    const std::lock_guard lock(m_mutex);
    m_regions[region].roundTrip = roundTrip;
}

void RegionLoadTracker::setObserverCount(std::uint32_t count)
{
    const std::lock_guard lock(m_mutex);
    m_observerCount = std::max(1U, count);
}

RegionState RegionLoadTracker::stateOf(const RegionName& name, const ServiceName& service, Instant now) const
{
    RegionState state;
    state.name = name;
    state.roundTrip = m_settings.defaultRoundTrip;
    state.observerCount = m_observerCount;
    state.summaryAge = historyLifetime;
    const auto region = m_regions.find(name);
    if (region == m_regions.end())
        return state;
    state.reachable = region->second.reachable;
    state.reachableSince = region->second.returnedAt;
    state.roundTrip = region->second.roundTrip.value_or(m_settings.defaultRoundTrip);
    const auto it = region->second.services.find(service);
    if (it == region->second.services.end() || it->second.takenAt == Instant {})
        return state;
    const auto& summary = it->second;
    state.slots = summary.load.slots;
    state.busySlots = summary.load.busySlots;
    state.queueWait = summary.load.queueWait;
    state.meanServiceTime = summary.load.meanServiceTime;
    state.summaryAge = now - summary.takenAt;
    state.ownSentSinceSummary = static_cast<std::uint32_t>(std::count_if(summary.sent.begin(), summary.sent.end(),
        [&](Instant at) { return at > now - historyLifetime; }));
    return state;
}

std::vector<RegionState> RegionLoadTracker::states(const Document& document, const RequestTraits& request, const RegionLoad& here, Instant now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<RegionState> states;
    states.reserve(document.regions.size());
    for (const auto& name : document.regions) {
        if (name != m_settings.localRegion) {
            states.push_back(stateOf(name, request.service, now));
            continue;
        }
        RegionState state;
        state.name = name;
        state.slots = here.slots;
        state.busySlots = here.busySlots;
        state.queueWait = here.queueWait;
        state.meanServiceTime = here.meanServiceTime;
        states.push_back(std::move(state));
    }
    return states;
}

} // namespace yuccashift
