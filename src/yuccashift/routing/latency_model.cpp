#include "yuccashift/routing/latency_model.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    /** Reports older than this say nothing about the present. */
    constexpr Duration reportLifetime = seconds(10);
    constexpr Duration slowStartTime = seconds(5);
    constexpr double slowStartFloor = 0.1;
    constexpr Duration defaultService = milliseconds(20);

    bool reportUsable(const BackendState& state, Instant now)
    {
        return state.reportedAt && now - *state.reportedAt < reportLifetime;
    }

    Duration scale(Duration duration, double factor)
    {
        return std::chrono::duration_cast<Duration>(duration * factor);
    }

    /** Time for which the requests already there hold a slot, one with another. */
    Duration serviceOfOthers(const BackendState& state, Duration ownService)
    {
        if (state.meanService > Duration::zero())
            return state.meanService;
        return std::max(ownService, defaultService);
    }

    Duration queueWait(const BackendState& state, Duration ownService, Instant now)
    {
        const double slots = std::max(1.0, state.slots * slowStartShare(state.availableSince, now));
        const double ahead = estimatedOccupancy(state, now) - slots + 1;
        if (ahead <= 0)
            return {};
        return scale(serviceOfOthers(state, ownService), ahead / slots);
    }

} // namespace

double slowStartShare(std::optional<Instant> availableSince, Instant now)
{
    if (!availableSince || now - *availableSince >= slowStartTime)
        return 1;
    const double elapsed = std::chrono::duration<double>(now - *availableSince) / slowStartTime;
    return std::max(slowStartFloor, elapsed);
}

Duration tokensToDuration(double tokens, double tokensPerSecond)
{
    if (tokensPerSecond <= 0)
        return {};
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(tokens / tokensPerSecond));
}

double estimatedOccupancy(const BackendState& state, Instant now)
{
    // Work of the other senders is unknown without a report: assume they send as much.
    if (!reportUsable(state, now))
        return static_cast<double>(state.ownInFlight) * std::max(1U, state.senders);
    const double reported = static_cast<double>(state.reportedRunning) + state.reportedWaiting;
    const double corrected = reported + state.ownSinceReport - state.ownEndedSinceReport;
    return std::max<double>(state.ownInFlight, corrected);
}

LatencyEstimate estimateLatency(const RequestTraits& request, const BackendState& state, Instant now)
{
    LatencyEstimate estimate;
    const double uncached = request.promptTokens - std::min(state.cachedTokens, request.promptTokens);
    const double slowdown = std::max(1.0, state.slowdown);
    estimate.prefill = scale(tokensToDuration(uncached, state.prefillTokensPerSecond), slowdown);
    estimate.decode = scale(tokensToDuration(request.expectedTokens, state.decodeTokensPerSecond), slowdown);
    if (request.expectedTokens == 0 && request.promptTokens == 0)
        estimate.decode = serviceOfOthers(state, {});
    estimate.queueWait = queueWait(state, estimate.prefill + estimate.decode, now);
    estimate.network = state.roundTrip;
    return estimate;
}

} // namespace yuccashift
