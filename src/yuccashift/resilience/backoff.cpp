#include "yuccashift/resilience/backoff.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    constexpr Duration minRetryAfter = seconds(1);
    constexpr Duration maxRetryAfter = seconds(30);

    Duration scale(Duration duration, double factor)
    {
        return std::chrono::duration_cast<Duration>(duration * factor);
    }

} // namespace

Duration backoff(const BackoffSpec& spec, std::uint32_t attempt, RandomSource& random)
{
    constexpr std::uint32_t maxDoublings = 20;
    const std::uint32_t doublings = std::min(attempt == 0 ? 0 : attempt - 1, maxDoublings);
    const Duration bound = std::min<Duration>(spec.maxDelay, spec.baseDelay * (std::int64_t(1) << doublings));
    return scale(bound, random.uniformReal());
}

Duration jitteredRetryAfter(Duration expectedRecovery, RandomSource& random)
{
    const Duration base = std::clamp(expectedRecovery, minRetryAfter, maxRetryAfter);
    return base + scale(base, random.uniformReal());
}

} // namespace yuccashift
