#include "yuccashift/kernel/registry.hpp"
#include "yuccashift/routing/eligibility.hpp"
#include "yuccashift/routing/latency_model.hpp"
#include "yuccashift/routing/policies.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    constexpr Duration defaultService = milliseconds(500);
    /** Summaries older than this give no ground for sending a request away. */
    constexpr Duration summaryLifetime = seconds(10);

    /** How a priority weighs its latency against leaving the region. */
    struct Restraint {
        /** Share of the time to its deadline that a request rather waits at home. */
        double patience = 0;
        /** Factor of the chance to leave; 1 makes it the gain, as a share of the local time. */
        double eagerness = 1;
    };

    Restraint restraintOf(Priority priority)
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
     * Wait in the region now. Every observer of the same summary is taken to send
     * as much as this instance, and a returning region to have few slots.
     */
    Duration expectedWait(const RegionState& state, Instant now)
    {
        const double slots = std::max(1.0, state.slots * slowStartShare(state.reachableSince, now));
        const double sent = static_cast<double>(state.ownSentSinceSummary) * std::max(1U, state.observerCount);
        const double excess = state.busySlots + sent - slots + 1;
        if (excess <= 0)
            return state.queueWait;
        const Duration service = state.meanServiceTime > Duration::zero() ? state.meanServiceTime : defaultService;
        return std::max(state.queueWait, scale(service, excess / slots));
    }

    Duration expectedTime(const RequestTraits& request, const RegionState& state, Instant now)
    {
        const double uncached = request.promptTokens - std::min(state.cachedTokens, request.promptTokens);
        return expectedWait(state, now) + state.roundTrip + tokensToDuration(uncached, state.prefillTokensPerSecond);
    }

    std::vector<Candidate> judge(const RequestTraits& request, std::span<const RegionState> states)
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

    /** The region of the entry, or nothing. */
    class LocalOnlyRegionPolicy final : public RegionPolicy {
    public:
        Decision choose(const RequestTraits& request, const SpillSpec&, const RegionName& here, std::span<const RegionState> states, Instant, RandomSource&) const override
        {
            auto candidates = judge(request, states);
            const auto local = findLocal(states, candidates, here);
            return decide(std::move(candidates), local, RejectReason::SpillForbidden);
        }
    };

    /** Shortest expected time, with a charge and a hysteresis on leaving the entry's region. */
    class ExpectedLatencyRegionPolicy final : public RegionPolicy {
    public:
        Decision choose(const RequestTraits& request, const SpillSpec& spill, const RegionName& here, std::span<const RegionState> states, Instant now, RandomSource& random) const override
        {
            auto candidates = judge(request, states);
            const auto local = findLocal(states, candidates, here);
            if (local && spill.mode == SpillMode::Never)
                return decide(std::move(candidates), local, RejectReason::SpillForbidden);
            std::optional<std::size_t> best;
            for (std::size_t n = 0; n < states.size(); ++n) {
                if (candidates[n].reason != RejectReason::None)
                    continue;
                const bool away = n != local;
                candidates[n].expectedLatency = expectedTime(request, states[n], now) + (away ? Duration(spill.cost) : Duration::zero());
                const bool usable = away && states[n].slots > 0 && (!local || states[n].summaryAge < summaryLifetime);
                if (usable && (!best || *candidates[n].expectedLatency < *candidates[*best].expectedLatency))
                    best = n;
            }
            if (!local)
                return decide(std::move(candidates), best, RejectReason::HigherCost);
            if (!best || !worthLeaving(request, spill, *candidates[*local].expectedLatency, *candidates[*best].expectedLatency, now, random))
                return stay(std::move(candidates), *local, best);
            return decide(std::move(candidates), best, RejectReason::HigherCost);
        }

    private:
        static bool worthLeaving(const RequestTraits& request, const SpillSpec& spill, Duration local, Duration away, Instant now, RandomSource& random)
        {
            constexpr double percent = 100;
            const auto restraint = restraintOf(request.priority);
            const Duration bar = scale(away, 1 + spill.hysteresisPercent / percent);
            if (local <= bar || local < scale(request.deadline - now, restraint.patience))
                return false;
            // Sending only a part away lets all observers together stop short of reversing the imbalance.
            const double gain = std::chrono::duration<double>(local - bar) / std::chrono::duration<double>(local);
            return random.unit() < gain * restraint.eagerness;
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
