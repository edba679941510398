#include "yuccashift/entry/region_demand_estimator.hpp"

namespace yuccashift {

void RegionDemandEstimator::onRequest(const Route& route)
{
    if (route.homeRegions.empty())
        return;
    ++m_bound;
    for (const auto& region : route.homeRegions)
        ++m_served[region];
}

double RegionDemandEstimator::servableShare(const RegionName& region, std::span<const Route> routes) const
{
    auto bound = m_bound;
    const auto it = m_served.find(region);
    auto served = it == m_served.end() ? 0 : it->second;
    // Each bound route counts as one request, which speaks for an instance that has just started.
    for (const auto& route : routes) {
        if (route.homeRegions.empty())
            continue;
        ++bound;
        if (route.allowsRegion(region))
            ++served;
    }
    return bound == 0 ? 1.0 : static_cast<double>(served) / static_cast<double>(bound);
}

} // namespace yuccashift
