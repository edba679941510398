#include "yuccashift/entry/region_demand_estimator.hpp"

namespace yuccashift {

void RegionDemandEstimator::onRequest(const Route& route)
{
    if (route.homeRegions.empty())
        return;
    ++m_boundRequests;
    for (const auto& region : route.homeRegions)
        ++m_servableByRegion[region];
}

double RegionDemandEstimator::servableShare(const RegionName& region, std::span<const Route> routes) const
{
    auto bound = m_boundRequests;
    const auto it = m_servableByRegion.find(region);
    auto servable = it == m_servableByRegion.end() ? 0 : it->second;
    // Each bound route counts as one request, so that an instance that has just started has an estimate.
    for (const auto& route : routes) {
        if (route.homeRegions.empty())
            continue;
        ++bound;
        if (route.allowsRegion(region))
            ++servable;
    }
    return bound == 0 ? 1.0 : static_cast<double>(servable) / static_cast<double>(bound);
}

} // namespace yuccashift
