#include "yuccashift/admission/capacity_gate.hpp"

#include "yuccashift/routing/eligibility.hpp"
#include "yuccashift/routing/latency_model.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    /** Occupancy per slot below which requests of this priority are admitted. */
    double maxOccupancyPerSlot(Priority priority)
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

    /** Totals over the eligible backend servers. */
    struct ServerPool {
        double slots = 0;
        double occupancy = 0;
        std::uint32_t senders = 1;
        Duration totalServiceTime {};
        std::uint32_t serversWithKnownTime = 0;
    };

    ServerPool poolOf(const RequestTraits& request, std::span<const BackendState> states, Instant now)
    {
        ServerPool pool;
        for (const auto& state : states) {
            if (backendRejection(request, state) != RejectReason::None)
                continue;
            pool.slots += state.slots * slowStartShare(state.availableSince, now);
            pool.occupancy += estimatedOccupancy(state, now);
            pool.senders = std::max(pool.senders, state.senderCount);
            if (state.meanServiceTime <= Duration::zero())
                continue;
            pool.totalServiceTime += state.meanServiceTime;
            ++pool.serversWithKnownTime;
        }
        return pool;
    }

} // namespace

bool hasFreeCapacity(const RequestTraits& request, std::span<const BackendState> states, Instant now)
{
    const auto pool = poolOf(request, states, now);
    // Without any eligible server, the choice of a server is left to report the error.
    return pool.slots == 0 || pool.occupancy < pool.slots * maxOccupancyPerSlot(request.priority);
}

Duration admissionInterval(const RequestTraits& request, std::span<const BackendState> states, Instant now)
{
    const auto pool = poolOf(request, states, now);
    if (pool.slots == 0 || pool.serversWithKnownTime == 0)
        return {};
    const Duration meanServiceTime = pool.totalServiceTime / pool.serversWithKnownTime;
    return std::chrono::duration_cast<Duration>(meanServiceTime * (pool.senders / pool.slots));
}

Instant regionReselectionTime(const WaitingRequest& request, Instant now)
{
    const Duration remaining = request.deadline - request.expectedServiceTime - now;
    return now + std::max(remaining, Duration::zero()) / 2;
}

} // namespace yuccashift
