#include "yuccashift/kernel/registry.hpp"
#include "yuccashift/routing/eligibility.hpp"
#include "yuccashift/routing/latency_model.hpp"
#include "yuccashift/routing/policies.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    /** Estimates that exceed the best by at most this much count as ties. */
    constexpr Duration tieTolerance = milliseconds(2);
    constexpr std::size_t minSampleSize = 4;

    /**
     * Number of candidates to compare. If several senders act on the same reports, each
     * compares only a sample, so that they do not all choose the same server.
     */
    std::size_t sampleSize(const EligibleBackends& eligible, std::span<const BackendState> states)
    {
        const std::size_t count = eligible.indexes.size();
        if (states[eligible.indexes.front()].senderCount <= 1)
            return count;
        return std::min(count, std::max(minSampleSize, count / 2));
    }

    void shuffleFront(std::vector<std::size_t>& indexes, std::size_t count, RandomSource& random)
    {
        for (std::size_t n = 0; n < count; ++n)
            std::swap(indexes[n], indexes[n + random.uniformBelow(indexes.size() - n)]);
    }

    /**
     * Moves the servers that may have cached a part of the prompt to the front, so that
     * the sample contains all of them. Returns their number.
     */
    std::size_t moveCachedFirst(std::vector<std::size_t>& indexes, std::span<const BackendState> states)
    {
        const auto end = std::stable_partition(indexes.begin(), indexes.end(),
            [&](std::size_t n) { return states[n].cachedTokens > 0; });
        return static_cast<std::size_t>(end - indexes.begin());
    }

    /**
     * Picks the server with the shortest expected latency. Among ties it picks the one to
     * which this instance has not sent for longest: this spreads requests more evenly than
     * a random choice.
     */
    std::size_t pickFastest(std::span<const std::size_t> sample, std::span<const Candidate> candidates, std::span<const BackendState> states)
    {
        Duration best = Duration::max();
        for (const auto n : sample)
            best = std::min(best, *candidates[n].expectedLatency);
        std::optional<std::size_t> picked;
        // The sample is in random order, which breaks ties between servers that were never used.
        for (const auto n : sample) {
            if (*candidates[n].expectedLatency <= best + tieTolerance && (!picked || states[n].lastStartedAt < states[*picked].lastStartedAt))
                picked = n;
        }
        return *picked;
    }

    /** Chooses the server with the shortest expected time to the end of the answer, plus the recompute penalty. */
    class ExpectedLatencyBackendPolicy final : public BackendPolicy {
    public:
        Decision choose(const RequestTraits& request, std::span<const BackendState> states, Instant now, RandomSource& random) const override
        {
            auto eligible = eligibleBackends(request, states);
            Decision decision { std::nullopt, std::move(eligible.candidates) };
            auto& indexes = eligible.indexes;
            if (indexes.empty())
                return decision;
            const std::size_t size = sampleSize(eligible, states);
            shuffleFront(indexes, indexes.size(), random);
            const std::size_t sampled = std::max(size, moveCachedFirst(indexes, states));
            const std::span sample(indexes.data(), std::min(sampled, indexes.size()));
            for (const auto n : sample) {
                decision.candidates[n].expectedLatency = estimateLatency(request, states[n], now).total();
                decision.candidates[n].reason = RejectReason::HigherCost;
            }
            decision.chosen = pickFastest(sample, decision.candidates, states);
            decision.candidates[*decision.chosen].reason = RejectReason::None;
            return decision;
        }
    };

    const Registrar<BackendPolicy, ExpectedLatencyBackendPolicy> registrar("expected-latency");

} // namespace
} // namespace yuccashift
