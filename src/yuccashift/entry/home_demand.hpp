#pragma once

#include "yuccashift/fleet/route_config.hpp"

#include <cstdint>
#include <map>

namespace yuccashift {

/**
 * How much of the demand that is bound to regions each region may serve, by the
 * requests seen here. Tells which other region suits callers whose own region
 * has no instance for them.
 */
class HomeDemand {
public:
    void onRequest(const Route&);
    /** Share of the bound requests that the region may serve; 1 before any was seen. */
    double share(const RegionName&) const;

private:
    std::uint64_t m_bound = 0;
    std::map<RegionName, std::uint64_t> m_served;
};

} // namespace yuccashift
