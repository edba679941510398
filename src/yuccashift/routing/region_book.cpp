#include "yuccashift/routing/region_book.hpp"

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

RegionLoad summarise(std::span<const BackendState> states, Instant now)
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
        if (state.meanService > Duration::zero()) {
            totalServiceTime += state.meanService;
            ++measured;
        }
    }
    if (measured > 0)
        load.meanService = totalServiceTime / measured;
    load.busySlots = static_cast<std::uint32_t>(std::min<double>(load.slots, occupancy));
    if (load.slots > 0 && occupancy > load.slots)
        load.queueWait = scale(load.meanService, (occupancy - load.slots) / load.slots);
    return load;
}

RegionBook::RegionBook(RegionBookSettings settings)
    : m_settings(std::move(settings))
{
}

void RegionBook::onSummary(const RegionName& region, const ServiceName& service, const RegionLoad& load, Instant takenAt)
{
    const std::lock_guard lock(m_mutex);
    auto& summary = m_regions[region].services[service];
    if (takenAt <= summary.takenAt)
        return;
    summary.load = load;
    summary.takenAt = takenAt;
    dropSentUntil(summary, takenAt);
}

void RegionBook::onSent(const RegionName& region, const ServiceName& service, Instant now)
{
    const std::lock_guard lock(m_mutex);
    auto& summary = m_regions[region].services[service];
    summary.sent.push_back(now);
    dropSentUntil(summary, now - historyLifetime);
}

void RegionBook::onReachable(const RegionName& name, bool reachable, Instant now)
{
    const std::lock_guard lock(m_mutex);
    auto& region = m_regions[name];
    if (reachable && !region.reachable)
        region.returnedAt = now;
    region.reachable = reachable;
}

void RegionBook::onRoundTrip(const RegionName& region, Duration roundTrip)
{
    const std::lock_guard lock(m_mutex);
    m_regions[region].roundTrip = roundTrip;
}

void RegionBook::setObservers(std::uint32_t count)
{
    const std::lock_guard lock(m_mutex);
    m_observerCount = std::max(1U, count);
}

RegionState RegionBook::stateOf(const RegionName& name, const ServiceName& service, Instant now) const
{
    RegionState state;
    state.name = name;
    state.roundTrip = m_settings.defaultRoundTrip;
    state.observers = m_observerCount;
    state.summaryAge = historyLifetime;
    const auto region = m_regions.find(name);
    if (region == m_regions.end())
        return state;
    state.reachable = region->second.reachable;
    state.returnedAt = region->second.returnedAt;
    state.roundTrip = region->second.roundTrip.value_or(m_settings.defaultRoundTrip);
    const auto it = region->second.services.find(service);
    if (it == region->second.services.end() || it->second.takenAt == Instant {})
        return state;
    const auto& summary = it->second;
    state.slots = summary.load.slots;
    state.busySlots = summary.load.busySlots;
    state.queueWait = summary.load.queueWait;
    state.meanService = summary.load.meanService;
    state.summaryAge = now - summary.takenAt;
    state.ownSinceSummary = static_cast<std::uint32_t>(std::count_if(summary.sent.begin(), summary.sent.end(),
        [&](Instant at) { return at > now - historyLifetime; }));
    return state;
}

std::vector<RegionState> RegionBook::states(const Document& document, const RequestTraits& request, const RegionLoad& here, Instant now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<RegionState> states;
    states.reserve(document.regions.size());
    for (const auto& name : document.regions) {
        if (name != m_settings.here) {
            states.push_back(stateOf(name, request.service, now));
            continue;
        }
        RegionState state;
        state.name = name;
        state.slots = here.slots;
        state.busySlots = here.busySlots;
        state.queueWait = here.queueWait;
        state.meanService = here.meanService;
        states.push_back(std::move(state));
    }
    return states;
}

} // namespace yuccashift
