#include "yuccashift/kernel/registry.hpp"
#include "yuccashift/routing/eligibility.hpp"
#include "yuccashift/routing/policies.hpp"

#include <atomic>
#include <functional>

namespace yuccashift {
namespace {

    /** Base of the simple policies, which differ only in how they pick one of the eligible servers. */
    class BaselineBackendPolicy : public BackendPolicy {
    public:
        Decision choose(const RequestTraits& request, std::span<const BackendState> states, Instant, RandomSource& random) const final
        {
            auto eligible = eligibleBackends(request, states);
            Decision decision { std::nullopt, std::move(eligible.candidates) };
            if (eligible.indexes.empty())
                return decision;
            for (const auto n : eligible.indexes)
                decision.candidates[n].reason = RejectReason::HigherCost;
            decision.chosen = pick(request, eligible.indexes, states, random);
            decision.candidates[*decision.chosen].reason = RejectReason::None;
            return decision;
        }

    private:
        virtual std::size_t pick(const RequestTraits&, std::span<const std::size_t> eligible, std::span<const BackendState>, RandomSource&) const = 0;
    };

    /** Picks the eligible server with the smallest value; ties are broken at random. */
    template <typename Value>
    std::size_t pickMin(std::span<const std::size_t> eligible, RandomSource& random, Value&& value)
    {
        std::vector<std::size_t> ties;
        for (const auto n : eligible) {
            if (!ties.empty() && value(n) < value(ties.front()))
                ties.clear();
            if (ties.empty() || value(n) == value(ties.front()))
                ties.push_back(n);
        }
        return ties[random.uniformBelow(ties.size())];
    }

    class RandomBackendPolicy final : public BaselineBackendPolicy {
        std::size_t pick(const RequestTraits&, std::span<const std::size_t> eligible, std::span<const BackendState>, RandomSource& random) const override
        {
            return eligible[random.uniformBelow(eligible.size())];
        }
    };

    class RoundRobinBackendPolicy final : public BaselineBackendPolicy {
        std::size_t pick(const RequestTraits&, std::span<const std::size_t> eligible, std::span<const BackendState>, RandomSource&) const override
        {
            return eligible[m_nextIndex.fetch_add(1, std::memory_order_relaxed) % eligible.size()];
        }

        mutable std::atomic<std::size_t> m_nextIndex = 0;
    };

    class LeastInFlightBackendPolicy final : public BaselineBackendPolicy {
        std::size_t pick(const RequestTraits&, std::span<const std::size_t> eligible, std::span<const BackendState> states, RandomSource& random) const override
        {
            return pickMin(eligible, random, [&](std::size_t n) { return states[n].ownInFlight; });
        }
    };

    class LeastReportedBackendPolicy final : public BaselineBackendPolicy {
        std::size_t pick(const RequestTraits&, std::span<const std::size_t> eligible, std::span<const BackendState> states, RandomSource& random) const override
        {
            return pickMin(eligible, random, [&](std::size_t n) { return states[n].reportedRunning + states[n].reportedWaiting; });
        }
    };

    /** Picks by a rendezvous hash of the prompt's first block, or at random if the prompt has no whole block. */
    class PrefixHashBackendPolicy final : public BaselineBackendPolicy {
        std::size_t pick(const RequestTraits& request, std::span<const std::size_t> eligible, std::span<const BackendState> states, RandomSource& random) const override
        {
            if (request.prefixBlocks.empty())
                return eligible[random.uniformBelow(eligible.size())];
            return pickMin(eligible, random, [&](std::size_t n) {
                return std::hash<std::string> {}(states[n].name + std::to_string(request.prefixBlocks.front()));
            });
        }
    };

    const Registrar<BackendPolicy, RandomBackendPolicy> randomRegistrar("random");
    const Registrar<BackendPolicy, RoundRobinBackendPolicy> roundRobinRegistrar("round-robin");
    const Registrar<BackendPolicy, LeastInFlightBackendPolicy> leastInFlightRegistrar("least-in-flight");
    const Registrar<BackendPolicy, LeastReportedBackendPolicy> leastReportedRegistrar("least-reported");
    const Registrar<BackendPolicy, PrefixHashBackendPolicy> prefixHashRegistrar("prefix-hash");

} // namespace
} // namespace yuccashift
