#include "yuccashift/entry/region_acceptance.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace yuccashift {

namespace {

    /** How often shares are computed again; heartbeats tell of others' demand less often. */
    constexpr Duration updateInterval = milliseconds(50);

} // namespace

RegionAcceptance::RegionAcceptance(const Clock& clock, const FleetState& fleetState, const ServerTracker& serverTracker, const DispatchPlanner& planner, const PromptDemand& demand)
    : m_clock(clock)
    , m_fleetState(fleetState)
    , m_serverTracker(serverTracker)
    , m_planner(planner)
    , m_demand(demand)
{
}

void RegionAcceptance::updateLimitedServices()
{
    if (m_configVersion == m_fleetState.configVersion())
        return;
    m_configVersion = m_fleetState.configVersion();
    m_limited.clear();
    m_entries.clear();
    const auto routes = m_fleetState.routes();
    if (!routes)
        return;
    std::map<ServiceName, std::vector<const Route*>> byService;
    for (const auto& route : routes->config().routes) {
        for (const auto& it : route.services)
            byService[it.service].push_back(&route);
    }
    for (auto& [service, found] : byService) {
        if (!routes->config().serviceConfig(service).engine)
            continue;
        std::ranges::sort(found, {}, &Route::priority);
        // The longest time of the routes that are more urgent than the present one, and of those that are as urgent.
        milliseconds before {};
        milliseconds same {};
        std::uint32_t priority = 0;
        for (const auto* route : found) {
            if (route->priority != priority)
                before = std::max(before, std::exchange(same, milliseconds {}));
            priority = route->priority;
            same = std::max(same, route->timeLimit);
            if (before > route->timeLimit)
                m_limited.insert(service);
        }
    }
}

std::size_t RegionAcceptance::usableEngines(const ServiceName& service) const
{
    std::size_t engines = 0;
    const auto now = m_clock.now();
    for (const auto& [key, server] : m_fleetState.servers()) {
        const bool usable = server.service == service && now >= server.coldUntil && m_planner.isUsableLocally(server);
        engines += usable && !m_serverTracker.statusOf(server.identityHash).suspect ? 1 : 0;
    }
    return engines;
}

const AcceptanceBasis* RegionAcceptance::basisFor(const ServiceName& service)
{
    updateLimitedServices();
    if (!m_limited.contains(service))
        return nullptr;
    const auto now = m_clock.now();
    auto& entry = m_entries[service];
    if (entry.updatedAt == Instant {} || now - entry.updatedAt >= updateInterval) {
        entry.updatedAt = now;
        entry.basis.demand = m_demand.total(service);
        entry.basis.room = roomForPrompts(usableEngines(service));
        entry.basis.shares = acceptedShares(entry.basis.demand, entry.basis.room);
    }
    return &entry.basis;
}

} // namespace yuccashift
