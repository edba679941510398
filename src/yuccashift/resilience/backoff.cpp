#include "yuccashift/resilience/backoff.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    constexpr Duration leastRetryAfter = seconds(1);
    constexpr Duration mostRetryAfter = seconds(30);

    Duration share(Duration duration, double factor)
    {
        return std::chrono::duration_cast<Duration>(duration * factor);
    }

} // namespace

Duration backoff(const BackoffSpec& spec, std::uint32_t attempt, RandomSource& random)
{
    constexpr std::uint32_t mostDoublings = 20;
    const std::uint32_t doublings = std::min(attempt == 0 ? 0 : attempt - 1, mostDoublings);
    const Duration bound = std::min<Duration>(spec.maxDelay, spec.baseDelay * (std::int64_t(1) << doublings));
    return share(bound, random.unit());
}

Duration jitteredRetryAfter(Duration expectedRecovery, RandomSource& random)
{
    const Duration base = std::clamp(expectedRecovery, leastRetryAfter, mostRetryAfter);
    return base + share(base, random.unit());
}

} // namespace yuccashift
