#pragma once

#include "yuccashift/fleet/route_config.hpp"

#include <cstdint>
#include <map>

namespace yuccashift {

/**
 * Estimates the share of region-bound requests that each region may serve, from
 * the requests seen by this instance and from the configured routes, which
 * dominate while few requests have been seen. The directory uses it to choose
 * another region for callers whose own region has no instance for them.
 */
class RegionDemandEstimator {
public:
    void onRequest(const AllowedRegions&);
    /** Share of the region-bound requests that the region may serve; 1 if no route or organisation is bound to regions. */
    double servableShare(const RegionName&, const RouteConfig&) const;

private:
    std::uint64_t m_boundRequests = 0;
    std::map<RegionName, std::uint64_t> m_servableByRegion;
};

} // namespace yuccashift
