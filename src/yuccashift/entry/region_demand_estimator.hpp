#pragma once

#include "yuccashift/fleet/route_config.hpp"

#include <cstdint>
#include <map>
#include <span>

namespace yuccashift {

/**
 * How much of the demand that is bound to regions each region may serve, by the
 * requests seen here and, until there are many, by the routes. Tells which other region suits callers whose own region
 * has no instance for them.
 */
class RegionDemandEstimator {
public:
    void onRequest(const Route&);
    /** Share of the bound requests that the region may serve; 1 where no route is bound. */
    double servableShare(const RegionName&, std::span<const Route>) const;

private:
    std::uint64_t m_bound = 0;
    std::map<RegionName, std::uint64_t> m_served;
};

} // namespace yuccashift
