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
    /** Statuses that callers read as: not run, and never will be. */
    constexpr auto promises = std::to_array({ 408, 421, 429, 503 });
    /** Callers return within a third of their time; a crowd is spread over the upper part of that. */
    constexpr double leastOfTimeLeft = 0.12;
    constexpr double mostOfTimeLeft = 0.32;
    constexpr Seconds leastReturn { 0.02 };
    /** Other instances can take the request now; only the callers of this one are spread. */
    constexpr Seconds mostReturnElsewhere { 0.2 };
    /** Nobody is asked to wait longer, however much time is left. */
    constexpr Seconds mostReturn { 5.0 };

    int statusOf(const Error& error)
    {
        int status = traits(error.kind).httpStatus;
        // Callers take other 4xx for a fault of their own request, and never return.
        if (error.kind == ErrorKind::Quarantined || error.kind == ErrorKind::ResidencyViolation)
            status = unavailable;
        const bool promise = std::ranges::find(promises, status) != promises.end();
        if (promise && error.effectiveRunState() != RunState::NotRun)
            status = badGateway;
        return status;
    }

    Seconds drawReturn(const Error& error, Seconds left, RandomSource& random)
    {
        if (error.kind == ErrorKind::Draining)
            return std::max(leastReturn, mostReturnElsewhere * random.unit());
        const Seconds from = error.retryAfter ? Seconds(*error.retryAfter) : left * leastOfTimeLeft;
        const Seconds most = std::max(from, left * mostOfTimeLeft);
        return std::clamp(from + (most - from) * random.unit(), leastReturn, mostReturn);
    }

    std::string returnTime(const Error& error, Duration timeLeft, RandomSource& random)
    {
        std::array<char, 24> text {};
        std::snprintf(text.data(), text.size(), "%.2f", drawReturn(error, Seconds(timeLeft), random).count());
        return text.data();
    }

} // namespace

FailureAnswer failureAnswer(const Error& error, Duration timeLeft, RandomSource& random)
{
    FailureAnswer answer;
    answer.head.status = statusOf(error);
    answer.head.headers.push_back({ "Content-Type", "application/json" });
    const bool promise = std::ranges::find(promises, answer.head.status) != promises.end();
    if (promise)
        answer.head.headers.push_back({ "Retry-After", returnTime(error, timeLeft, random) });
    answer.body = errorBody(error, {});
    return answer;
}

} // namespace yuccashift
