#include "yuccashift/entry/failure_answer.hpp"

#include "yuccashift/http/error_answer.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace yuccashift {

namespace {

    using Seconds = std::chrono::duration<double>;

    constexpr int badGateway = 502;
    constexpr int unavailable = 503;
    /** Statuses by which callers conclude that the request has not run and will not run. */
    constexpr auto notRunStatuses = std::to_array({ 408, 421, 429, 503 });
    /** Callers retry within the first third of their time; the delays are spread over the upper part of that third. */
    constexpr double minShareOfTimeLeft = 0.12;
    constexpr double maxShareOfTimeLeft = 0.32;
    constexpr Seconds minRetryDelay { 0.02 };
    /** Limit while this instance drains: others can take the request at once, so only the callers of this instance are spread. */
    constexpr Seconds maxRetryDelayDraining { 0.2 };
    /** Upper limit on the delay, however much time is left. */
    constexpr Seconds maxRetryDelay { 5.0 };

    int statusOf(const Error& error)
    {
        int status = traits(error.kind).httpStatus;
        // Callers take any other 4xx status for an error in their request and do not retry.
        if (error.kind == ErrorKind::Quarantined || error.kind == ErrorKind::ResidencyViolation)
            status = unavailable;
        const bool impliesNotRun = std::ranges::find(notRunStatuses, status) != notRunStatuses.end();
        if (impliesNotRun && error.effectiveRunState() != RunState::NotRun)
            status = badGateway;
        return status;
    }

    Seconds drawRetryDelay(const Error& error, Seconds left, RandomSource& random)
    {
        if (error.kind == ErrorKind::Draining)
            return std::max(minRetryDelay, maxRetryDelayDraining * random.uniformReal());
        const Seconds shortest = error.retryAfter ? Seconds(*error.retryAfter) : left * minShareOfTimeLeft;
        const Seconds longest = std::max(shortest, error.retryBefore ? Seconds(*error.retryBefore) : left * maxShareOfTimeLeft);
        return std::clamp(shortest + (longest - shortest) * random.uniformReal(), minRetryDelay, std::max(maxRetryDelay, shortest));
    }

    std::string retryAfterValue(const Error& error, Duration timeLeft, RandomSource& random)
    {
        std::array<char, 24> text {};
        std::snprintf(text.data(), text.size(), "%.2f", drawRetryDelay(error, Seconds(timeLeft), random).count());
        return text.data();
    }

} // namespace

FailureAnswer failureAnswer(const Error& error, Duration timeLeft, RandomSource& random)
{
    FailureAnswer answer;
    answer.head.status = statusOf(error);
    answer.head.headers.push_back({ "Content-Type", "application/json" });
    const bool impliesNotRun = std::ranges::find(notRunStatuses, answer.head.status) != notRunStatuses.end();
    if (impliesNotRun)
        answer.head.headers.push_back({ "Retry-After", retryAfterValue(error, timeLeft, random) });
    answer.body = errorBody(error, {});
    return answer;
}

} // namespace yuccashift
