#pragma once

#include "yuccashift/admission/admission_queue.hpp"
#include "yuccashift/routing/types.hpp"

#include <span>

namespace yuccashift {

/**
 * Whether the eligible backend servers can take one more request of this priority
 * now; true if there is no eligible server. Requests beyond that wait in the
 * AdmissionQueue, where they can still be reordered. Urgent requests may fill the
 * servers beyond their slots, batch requests leave some slots free.
 */
bool hasFreeCapacity(const RequestTraits&, std::span<const BackendState>, Instant now);

/**
 * Expected time between two admissions by this instance while all slots are taken;
 * zero if no eligible server has a known service time.
 */
Duration admissionInterval(const RequestTraits&, std::span<const BackendState>, Instant now);

/**
 * When to choose the region of a waiting request again: halfway to the latest time
 * at which it can start, since the wait may turn out longer than expected. The
 * caller does this once for each request.
 */
Instant regionReselectionTime(const WaitingRequest&, Instant now);

} // namespace yuccashift
