#include "yuccashift/entry/home_demand.hpp"

namespace yuccashift {

void HomeDemand::onRequest(const Route& route)
{
    if (route.homes.empty())
        return;
    ++m_boundRequests;
    for (const auto& region : route.homes)
        ++m_servableByRegion[region];
}

double HomeDemand::share(const RegionName& region, std::span<const Route> routes) const
{
    auto bound = m_boundRequests;
    const auto it = m_servableByRegion.find(region);
    auto servable = it == m_servableByRegion.end() ? 0 : it->second;
    // Each bound route counts as one request, so that an instance that has just started has an estimate.
    for (const auto& route : routes) {
        if (route.homes.empty())
            continue;
        ++bound;
        if (route.allowsRegion(region))
            ++servable;
    }
    return bound == 0 ? 1.0 : static_cast<double>(servable) / static_cast<double>(bound);
}

} // namespace yuccashift
