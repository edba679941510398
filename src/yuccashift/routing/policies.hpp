#pragma once

#include "yuccashift/kernel/random.hpp"
#include "yuccashift/routing/types.hpp"

#include <span>

namespace yuccashift {

/**
 * Chooses a backend server of a region. The decision depends on the arguments only,
 * except that round-robin keeps a counter.
 */
class BackendPolicy {
public:
    virtual ~BackendPolicy();
    virtual Decision choose(const RequestTraits&, std::span<const BackendState>, Instant now, RandomSource&) const = 0;
};

/** Chooses the region that serves a request, never one outside allowedRegions. The decision depends on the arguments only. */
class RegionPolicy {
public:
    virtual ~RegionPolicy();
    virtual Decision choose(const RequestTraits&, const SpillSpec&, const RegionName& here, std::span<const RegionState>, Instant now, RandomSource&) const = 0;
};

} // namespace yuccashift
