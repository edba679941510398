#include "yuccashift/kernel/registry.hpp"
#include "yuccashift/routing/eligibility.hpp"
#include "yuccashift/routing/latency_model.hpp"
#include "yuccashift/routing/policies.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    constexpr Duration defaultServiceTime = milliseconds(500);
    /** A request that the local region can serve does not leave it on a summary of this age or older. */
    constexpr Duration summaryLifetime = seconds(10);

    /** Conditions under which a request of a given priority may leave the region. */
    struct SpillCondition {
        /** The request stays while the expected local time is below this share of the time to its deadline. */
        double minDeadlineShare = 0;
        /** Factor of the probability to leave. With 1, it equals the time saved as a share of the local time. */
        double probabilityFactor = 1;
    };

    SpillCondition spillCondition(Priority priority)
    {
        switch (priority) {
        case Priority::Urgent:
            return { 0, 4 };
        case Priority::Normal:
            return { 0.1, 1 };
        case Priority::Batch:
            break;
        }
        return { 0.2, 1 };
    }

    Duration scale(Duration duration, double factor)
    {
        return std::chrono::duration_cast<Duration>(duration * factor);
    }

    /**
     * Expected wait for a slot in the region. Assumes that every observer of the same
     * summary has sent as many requests as this instance, and that a region has only
     * a part of its slots during slow start.
     */
    Duration expectedWait(const RegionState& state, Instant now)
    {
        const double slots = std::max(1.0, state.slots * slowStartShare(state.reachableSince, now));
        const double sent = static_cast<double>(state.ownSentSinceSummary) * std::max(1U, state.observerCount);
        const double excess = state.busySlots + sent - slots + 1;
        if (excess <= 0)
            return state.queueWait;
        const Duration serviceTime = state.meanServiceTime > Duration::zero() ? state.meanServiceTime : defaultServiceTime;
        return std::max(state.queueWait, scale(serviceTime, excess / slots));
    }

    Duration expectedTime(const RequestTraits& request, const RegionState& state, Instant now)
    {
        const double uncached = request.promptTokens - std::min(state.cachedTokens, request.promptTokens);
        return expectedWait(state, now) + state.roundTrip + tokensToDuration(uncached, state.prefillTokensPerSecond);
    }

    std::vector<Candidate> makeCandidates(const RequestTraits& request, std::span<const RegionState> states)
    {
        std::vector<Candidate> candidates;
        candidates.reserve(states.size());
        for (const auto& state : states)
            candidates.push_back({ state.name, regionRejection(request, state), std::nullopt });
        return candidates;
    }

    std::optional<std::size_t> findLocal(std::span<const RegionState> states, std::span<const Candidate> candidates, const RegionName& here)
    {
        for (std::size_t n = 0; n < states.size(); ++n) {
            if (states[n].name == here && candidates[n].reason == RejectReason::None && states[n].slots > 0)
                return n;
        }
        return std::nullopt;
    }

    Decision decide(std::vector<Candidate> candidates, std::optional<std::size_t> chosen, RejectReason others)
    {
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            if (n != chosen && candidates[n].reason == RejectReason::None)
                candidates[n].reason = others;
        }
        return { chosen, std::move(candidates) };
    }

    /** Chooses the local region, or none if that cannot serve the request. */
    class LocalOnlyRegionPolicy final : public RegionPolicy {
    public:
        Decision choose(const RequestTraits& request, const SpillSpec&, const RegionName& here, std::span<const RegionState> states, Instant, RandomSource&) const override
        {
            auto candidates = makeCandidates(request, states);
            const auto local = findLocal(states, candidates, here);
            return decide(std::move(candidates), local, RejectReason::SpillForbidden);
        }
    };

    /** Chooses the shortest expected time, with a cost and a hysteresis for leaving the local region. */
    class ExpectedLatencyRegionPolicy final : public RegionPolicy {
    public:
        Decision choose(const RequestTraits& request, const SpillSpec& spill, const RegionName& here, std::span<const RegionState> states, Instant now, RandomSource& random) const override
        {
            auto candidates = makeCandidates(request, states);
            const auto local = findLocal(states, candidates, here);
            if (local && spill.mode == SpillMode::Never)
                return decide(std::move(candidates), local, RejectReason::SpillForbidden);
            std::optional<std::size_t> best;
            for (std::size_t n = 0; n < states.size(); ++n) {
                if (candidates[n].reason != RejectReason::None)
                    continue;
                const bool remote = n != local;
                candidates[n].expectedLatency = expectedTime(request, states[n], now) + (remote ? Duration(spill.cost) : Duration::zero());
                const bool usable = remote && states[n].slots > 0 && (!local || states[n].summaryAge < summaryLifetime);
                if (usable && (!best || *candidates[n].expectedLatency < *candidates[*best].expectedLatency))
                    best = n;
            }
            if (!local)
                return decide(std::move(candidates), best, RejectReason::HigherCost);
            if (!best || !shouldSpill(request, spill, *candidates[*local].expectedLatency, *candidates[*best].expectedLatency, now, random))
                return stay(std::move(candidates), *local, best);
            return decide(std::move(candidates), best, RejectReason::HigherCost);
        }

    private:
        static bool shouldSpill(const RequestTraits& request, const SpillSpec& spill, Duration local, Duration remote, Instant now, RandomSource& random)
        {
            constexpr double percent = 100;
            const auto condition = spillCondition(request.priority);
            const Duration threshold = scale(remote, 1 + spill.hysteresisPercent / percent);
            if (local <= threshold || local < scale(request.deadline - now, condition.minDeadlineShare))
                return false;
            // Only a part of the requests leaves, so that all observers together do not reverse the imbalance.
            const double timeSaved = std::chrono::duration<double>(local - threshold) / std::chrono::duration<double>(local);
            return random.uniformReal() < timeSaved * condition.probabilityFactor;
        }

        static Decision stay(std::vector<Candidate> candidates, std::size_t local, std::optional<std::size_t> best)
        {
            const bool better = best && *candidates[*best].expectedLatency < *candidates[local].expectedLatency;
            if (better)
                candidates[*best].reason = RejectReason::Hysteresis;
            return decide(std::move(candidates), local, RejectReason::HigherCost);
        }
    };

    const Registrar<RegionPolicy, LocalOnlyRegionPolicy> localOnlyRegistrar("local-only");
    const Registrar<RegionPolicy, ExpectedLatencyRegionPolicy> expectedLatencyRegistrar("expected-latency");

} // namespace
} // namespace yuccashift
