#include "yuccashift/entry/region_demand_estimator.hpp"

namespace yuccashift {

void RegionDemandEstimator::onRequest(const AllowedRegions& allowed)
{
    if (!allowed.bound())
        return;
    ++m_boundRequests;
    for (const auto& region : allowed.names())
        ++m_servableByRegion[region];
}

double RegionDemandEstimator::servableShare(const RegionName& region, const RouteConfig& config) const
{
    auto bound = m_boundRequests;
    const auto it = m_servableByRegion.find(region);
    auto servable = it == m_servableByRegion.end() ? 0 : it->second;
    // Each bound route and organisation counts as one request, so that an instance that has just started has an estimate.
    static const Route unboundRoute;
    const auto count = [&](const AllowedRegions& allowed) {
        bound += allowed.bound() ? 1 : 0;
        servable += allowed.bound() && allowed.allows(region) ? 1 : 0;
    };
    for (const auto& route : config.routes)
        count({ route, nullptr });
    for (const auto& organisation : config.organisations)
        count({ unboundRoute, &organisation });
    return bound == 0 ? 1.0 : static_cast<double>(servable) / static_cast<double>(bound);
}

} // namespace yuccashift
