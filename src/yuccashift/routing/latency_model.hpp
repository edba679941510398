#pragma once

#include "yuccashift/routing/types.hpp"

namespace yuccashift {

/** Parts of the time that a request is expected to take on a backend server. */
struct LatencyEstimate {
    Duration queueWait {};
    Duration prefill {};
    Duration decode {};
    Duration network {};
    /** Charge for the accelerator's time that recomputing takes from other requests. */
    Duration recomputePenalty {};

    Duration total() const { return queueWait + prefill + decode + network + recomputePenalty; }
};

/** Requests that run or wait on the backend server, corrected by own work since its report. */
double estimatedOccupancy(const BackendState&, Instant now);

/** Expected time of the request on the backend server. */
LatencyEstimate estimateLatency(const RequestTraits&, const BackendState&, Instant now);

/**
 * Whether the backend server, by its own report, cannot bring the whole answer
 * before the request's deadline. False where it has reported nothing.
 */
bool missesDeadline(const RequestTraits&, const BackendState&, Instant now);

/** Share of its capacity that a server may take so long after it came up, in (0, 1]. */
double slowStartShare(std::optional<Instant> availableSince, Instant now);

/** Duration of this many tokens at this rate; zero where the rate is not positive. */
Duration tokensToDuration(double tokens, double tokensPerSecond);

} // namespace yuccashift
