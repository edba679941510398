#pragma once

#include "yuccashift/admission/admission_queue.hpp"
#include "yuccashift/routing/types.hpp"

#include <span>

namespace yuccashift {

/**
 * Whether the servers can take one more request of this priority now. What they
 * cannot take waits in the AdmissionQueue, where its order can still change.
 * Urgent work may fill the servers beyond their slots, batch work leaves some free.
 */
bool hasFreeCapacity(const RequestTraits&, std::span<const BackendState>, Instant now);

/** Expected time between admissions of one instance while all slots are taken. */
Duration admissionInterval(const RequestTraits&, std::span<const BackendState>, Instant now);

/**
 * When the region of a request that waits should be chosen again, once: the wait
 * may have turned out longer than it was expected to be.
 */
Instant regionReselectionTime(const WaitingRequest&, Instant now);

} // namespace yuccashift
