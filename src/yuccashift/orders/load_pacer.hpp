#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <cstdint>
#include <optional>

namespace yuccashift {

/** How fast one region's engines may be told to load weights. */
struct PacingRate {
    /** Loads per minute over all instances of the region. */
    double loadsPerMinute = 12;
    /** Loads that an instance may start at once after a quiet time. */
    double burst = 1;
};

/**
 * Spreads the loads that one instance orders, so that the engines of a region
 * do not stampede on the weight store. Each instance keeps an equal share of
 * the region's rate; with n instances their sum exceeds it by n bursts at most.
 */
class LoadPacer {
public:
    explicit LoadPacer(PacingRate);

    /** Whether another load may be ordered now; counts it where it may. */
    bool tryStartLoad(std::uint32_t instancesInRegion, Instant now);

private:
    void refill(std::uint32_t instancesInRegion, Instant now);

    PacingRate m_rate;
    double m_tokens;
    std::optional<Instant> m_refilledAt;
};

} // namespace yuccashift
