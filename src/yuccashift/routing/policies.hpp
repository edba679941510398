#pragma once

#include "yuccashift/kernel/random.hpp"
#include "yuccashift/routing/types.hpp"

#include <span>

namespace yuccashift {

/** Chooses a backend server of one region. Pure: same input, same decision. */
class BackendPolicy {
public:
    virtual ~BackendPolicy();
    virtual Decision choose(const RequestTraits&, std::span<const BackendState>, Instant now, RandomSource&) const = 0;
};

/** Chooses the region that serves a request. Pure; never outside allowedRegions. */
class RegionPolicy {
public:
    virtual ~RegionPolicy();
    virtual Decision choose(const RequestTraits&, const SpillSpec&, const RegionName& here, std::span<const RegionState>, Instant now, RandomSource&) const = 0;
};

} // namespace yuccashift
