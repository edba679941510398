#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/resilience/attempt_budget.hpp"
#include "yuccashift/routing/types.hpp"

#include <optional>

namespace yuccashift {

/** Bounds second attempts that are sent while the first still runs. Thread safe. */
class HedgeBudget {
public:
    /** Call once for each request. */
    void onRequest(const ServiceName&, const OrganisationName&, const HedgeSpec&);
    /**
     * Wait before a hedge: the document's, and at least twice the expected time of the
     * request. Nothing where hedges are off, or the request is batch work or not idempotent.
     */
    static std::optional<Duration> delay(const HedgeSpec&, const RequestTraits&, Duration expected);
    /** Takes one hedge where the budget allows it; false where delay() has none. */
    bool tryHedge(const RequestTraits&, const HedgeSpec&);

private:
    detail::AttemptBudget m_budget;
};

} // namespace yuccashift
