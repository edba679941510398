#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/resilience/attempt_budget.hpp"

namespace yuccashift {

/**
 * Bounds retries to a share of requests, per service and organisation, so that
 * an outage does not multiply the load. Thread safe.
 */
class RetryBudget {
public:
    /** Call once for each request, not for its retries. */
    void onRequest(const ServiceName&, const OrganisationName&, const RetrySpec&);
    /**
     * Takes one retry. The attempt counts those already made, the first included.
     * Says nothing about safety: the caller checks that the request may run again.
     */
    bool tryRetry(const ServiceName&, const OrganisationName&, const RetrySpec&, std::uint32_t attempt);

private:
    detail::AttemptBudget m_budget;
};

} // namespace yuccashift
