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

double HomeDemand::share(const RegionName& region) const
{
    if (m_bound == 0)
        return 1.0;
    const auto it = m_served.find(region);
    return it == m_served.end() ? 0.0 : static_cast<double>(it->second) / static_cast<double>(m_bound);
}

} // namespace yuccashift
