#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/random.hpp"

#include <cstdint>

namespace yuccashift {

/** Bounds of the wait before another attempt. */
struct BackoffSpec {
    Duration baseDelay = milliseconds(50);
    Duration maxDelay = seconds(5);
};

/** Wait before the attempt (1 is the first retry): uniform up to an exponential bound. */
Duration backoff(const BackoffSpec&, std::uint32_t attempt, RandomSource&);

/**
 * Retry-After for a refused caller: the expected recovery and up to as much
 * again at random, at least one second, so that callers do not return together.
 */
Duration jitteredRetryAfter(Duration expectedRecovery, RandomSource&);

} // namespace yuccashift
