#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <cstdint>
#include <optional>

namespace yuccashift {

/** Rate limit for model loads in one region. */
struct PacingRate {
    /** Loads per minute over all instances of the region. */
    double loadsPerMinute = 12;
    /** Loads that an instance may start at once after a period without loads. */
    double burst = 1;
};

/**
 * Limits the rate of model loads that one instance orders, so that the engines of a
 * region do not overload the weight store. Each instance uses an equal share of the
 * region's rate; n instances together exceed it by at most n bursts.
 */
class LoadPacer {
public:
    explicit LoadPacer(PacingRate);

    /** Returns whether another load may be ordered now, and counts it if so. */
    bool tryStartLoad(std::uint32_t instancesInRegion, Instant now);

private:
    void refill(std::uint32_t instancesInRegion, Instant now);

    PacingRate m_rate;
    double m_tokens;
    std::optional<Instant> m_refilledAt;
};

} // namespace yuccashift
