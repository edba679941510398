#include "yuccashift/entry/home_demand.hpp"

namespace yuccashift {

void HomeDemand::onRequest(const Route& route)
{
    if (route.homes.empty())
        return;
    ++m_bound;
    for (const auto& region : route.homes)
        ++m_served[region];
}

double HomeDemand::share(const RegionName& region, std::span<const Route> routes) const
{
    auto bound = m_bound;
    const auto it = m_served.find(region);
    auto served = it == m_served.end() ? 0 : it->second;
    // Each bound route counts as one request, which speaks for an instance that has just started.
    for (const auto& route : routes) {
        if (route.homes.empty())
            continue;
        ++bound;
        if (route.allowsRegion(region))
            ++served;
    }
    return bound == 0 ? 1.0 : static_cast<double>(served) / static_cast<double>(bound);
}

} // namespace yuccashift
