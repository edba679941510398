#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/resilience/attempt_budget.hpp"

namespace yuccashift {

/**
 * Limits retries to a percentage of the requests, per service and organisation, so
 * that an outage does not multiply the load. Thread safe.
 */
class RetryBudget {
public:
    /** Credits one request to the budget; call it once for each request, not for its retries. */
    void onRequest(const ServiceName&, const OrganisationName&, const RetrySpec&);
    /**
     * Takes one retry from the budget; returns false if the budget or the attempts
     * of the request are used up. The caller checks that the request may run again.
     * @param attempt number of attempts already made, including the first
     */
    bool tryRetry(const ServiceName&, const OrganisationName&, const RetrySpec&, std::uint32_t attempt);

private:
    detail::AttemptBudget m_budget;
};

} // namespace yuccashift
