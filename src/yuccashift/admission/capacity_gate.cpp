#include "yuccashift/admission/capacity_gate.hpp"

#include "yuccashift/routing/eligibility.hpp"
#include "yuccashift/routing/latency_model.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    /** Requests per slot up to which each priority is let through. */
    double fillOf(Priority priority)
    {
        switch (priority) {
        case Priority::Urgent:
            return 2.0;
        case Priority::Normal:
            return 1.0;
        case Priority::Batch:
            break;
        }
        return 0.8;
    }

    struct Pool {
        double slots = 0;
        double occupancy = 0;
        std::uint32_t senders = 1;
        Duration service {};
        std::uint32_t known = 0;
    };

    Pool poolOf(const RequestTraits& request, std::span<const BackendState> states, Instant now)
    {
        Pool pool;
        for (const auto& state : states) {
            if (backendRejection(request, state) != RejectReason::None)
                continue;
            pool.slots += state.slots * slowStartShare(state.availableSince, now);
            pool.occupancy += estimatedOccupancy(state, now);
            pool.senders = std::max(pool.senders, state.senderCount);
            if (state.meanServiceTime <= Duration::zero())
                continue;
            pool.service += state.meanServiceTime;
            ++pool.known;
        }
        return pool;
    }

} // namespace

bool hasFreeCapacity(const RequestTraits& request, std::span<const BackendState> states, Instant now)
{
    const auto pool = poolOf(request, states, now);
    // With no server at all the choice itself has to say so.
    return pool.slots == 0 || pool.occupancy < pool.slots * fillOf(request.priority);
}

Duration admissionInterval(const RequestTraits& request, std::span<const BackendState> states, Instant now)
{
    const auto pool = poolOf(request, states, now);
    if (pool.slots == 0 || pool.known == 0)
        return {};
    const Duration service = pool.service / pool.known;
    return std::chrono::duration_cast<Duration>(service * (pool.senders / pool.slots));
}

Instant regionReselectionTime(const WaitingRequest& request, Instant now)
{
    const Duration slack = request.deadline - request.expectedServiceTime - now;
    return now + std::max(slack, Duration::zero()) / 2;
}

} // namespace yuccashift
