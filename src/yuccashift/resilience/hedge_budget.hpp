#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/resilience/attempt_budget.hpp"

#include <optional>

namespace yuccashift {

/** Bounds second attempts that are sent while the first still runs. Thread safe. */
class HedgeBudget {
public:
    /** Call once for each request. */
    void onRequest(const ServiceName&, const OrganisationName&, const HedgeSpec&);
    /** Wait before a hedge; nothing where hedges are off or the request is not idempotent. */
    static std::optional<Duration> delay(const HedgeSpec&, bool idempotent);
    /** Takes one hedge where the budget allows it; false for work that is not idempotent. */
    bool tryHedge(const ServiceName&, const OrganisationName&, const HedgeSpec&, bool idempotent);

private:
    detail::AttemptBudget m_budget;
};

} // namespace yuccashift
