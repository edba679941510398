#include "yuccashift/dispatch/acceptance.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift {

namespace {

    /** Share of an engine's time for prompts. In the rest, a stream of some hundred tokens ends in a few times the time that it takes alone. */
    constexpr double maxPromptShare = 0.7;
    /**
     * How much more often a request that comes back is accepted. If it always went first, a long shortage would refuse
     * every request at first and serve all of them late.
     */
    constexpr double advantageOfReturning = 2;

    using Millis = std::chrono::duration<double, std::milli>;

    /** What engines read in a millisecond, and what the attention of a million pairs of tokens adds. */
    constexpr double promptTokensPerMs = 64.0;
    constexpr double msPerMillionPairs = 0.65;
    constexpr double million = 1e6;

    /** Part of the objective that a refused caller waits at least and at most, if it will be served then. */
    constexpr double minReturnShareOfObjective = 0.15;
    constexpr double maxReturnShareOfObjective = 0.5;
    /** Less than the least wait that callers are told, since clocks and links differ. */
    constexpr double passedShareOfObjective = 0.1;
    /** From this share on, one that comes back counts on being served. */
    constexpr double servedShare = 0.5;
    /** Callers honour up to a third of the time they have left; the times are spread over the upper part of it. */
    constexpr double minReturnShareOfTimeLeft = 0.12;
    constexpr double maxReturnShareOfTimeLeft = 0.32;

    Duration part(Duration whole, double share)
    {
        return std::chrono::duration_cast<Duration>(whole * share);
    }

    double pairsUpTo(double tokens)
    {
        return tokens * tokens / 2;
    }

} // namespace

Duration promptTime(std::uint32_t promptTokens, std::uint32_t cachedTokens)
{
    const double cached = std::min(promptTokens, cachedTokens);
    const double pairs = pairsUpTo(promptTokens) - pairsUpTo(cached);
    return std::chrono::duration_cast<Duration>(Millis((promptTokens - cached) / promptTokensPerMs + msPerMillionPairs * pairs / million));
}

bool comesBackAsTold(Duration timeLimit, Duration timeLeft, Duration objective)
{
    return timeLimit - timeLeft >= part(objective, passedShareOfObjective);
}

ReturnTime returnTime(double acceptedShareOfReturning, Duration objective, Duration timeLeft)
{
    const auto longest = part(timeLeft, maxReturnShareOfTimeLeft);
    const auto soon = part(objective, maxReturnShareOfObjective);
    if (acceptedShareOfReturning >= servedShare && soon <= longest)
        return { part(objective, minReturnShareOfObjective), soon };
    return { part(timeLeft, minReturnShareOfTimeLeft), longest };
}

double roomForPrompts(std::size_t engines)
{
    return maxPromptShare * static_cast<double>(engines);
}

AcceptedShares acceptedShares(const PromptLoads& demand, double room)
{
    AcceptedShares shares {};
    bool yields = false;
    for (std::size_t priority = 0; priority < priorityLevels && !yields; ++priority) {
        const auto back = acceptanceLevel(priority, true);
        const auto fresh = acceptanceLevel(priority, false);
        const auto asked = demand[back] + demand[fresh];
        yields = asked > room;
        const auto even = yields ? room / (advantageOfReturning * demand[back] + demand[fresh]) : 1.0;
        shares[back] = std::min(1.0, advantageOfReturning * even);
        // Those that come back have at most all that they ask for; the rest is for the others.
        const auto left = std::max(0.0, room - shares[back] * demand[back]);
        shares[fresh] = yields && demand[fresh] > 0 ? std::min(shares[back], left / demand[fresh]) : even;
        room = std::max(0.0, room - asked);
    }
    return shares;
}

double offeredShare(double accepted)
{
    return std::sqrt(std::clamp(accepted, 0.0, 1.0));
}

} // namespace yuccashift
