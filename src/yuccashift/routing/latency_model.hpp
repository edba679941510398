#pragma once

#include "yuccashift/routing/types.hpp"

namespace yuccashift {

/** Components of the expected latency of a request on a backend server. */
struct LatencyEstimate {
    Duration queueWait {};
    Duration prefill {};
    Duration decode {};
    Duration network {};
    /** Penalty for the accelerator time that prefilling uncached tokens takes from other requests. */
    Duration recomputePenalty {};

    Duration total() const { return queueWait + prefill + decode + network + recomputePenalty; }
};

/**
 * Estimated number of requests that run or wait on the backend server, from its last
 * report and the requests of this instance since.
 */
double estimatedOccupancy(const BackendState&, Instant now);

/** Expected latency of the request on the backend server. */
LatencyEstimate estimateLatency(const RequestTraits&, const BackendState&, Instant now);

/**
 * Whether the backend server is expected to finish the answer only after the
 * request's deadline. False if it has not sent a report.
 */
bool missesDeadline(const RequestTraits&, const BackendState&, Instant now);

/** Share of its capacity, in (0, 1], that a server or region may use during slow start; 1 if availableSince is empty. */
double slowStartShare(std::optional<Instant> availableSince, Instant now);

/** Time to process the tokens at the given rate; zero if the rate is not positive. */
Duration tokensToDuration(double tokens, double tokensPerSecond);

} // namespace yuccashift
