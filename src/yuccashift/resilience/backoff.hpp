#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/random.hpp"

#include <cstdint>

namespace yuccashift {

/** Bounds of the exponential back-off before a retry. */
struct BackoffSpec {
    /** Upper bound of the delay before the first retry; doubles with each further one. */
    Duration baseDelay = milliseconds(50);
    /** Upper bound of the delay before any retry. */
    Duration maxDelay = seconds(5);
};

/**
 * Delay before a retry: uniformly distributed between zero and an exponentially growing bound.
 * @param attempt number of the retry, from 1
 */
Duration backoff(const BackoffSpec&, std::uint32_t attempt, RandomSource&);

/**
 * Retry-After for a refused caller: the expected time to recovery plus a random part
 * of up to the same length, so that callers do not retry at the same time. At least
 * one second.
 */
Duration jitteredRetryAfter(Duration expectedRecovery, RandomSource&);

} // namespace yuccashift
