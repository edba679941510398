#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/resilience/attempt_budget.hpp"
#include "yuccashift/routing/types.hpp"

#include <optional>

namespace yuccashift {

/** Budget of hedges: second attempts that are sent while the first still runs. Thread safe. */
class HedgeBudget {
public:
    /** Credits one request to the budget; call it once for each request. */
    void onRequest(const ServiceName&, const OrganisationName&, const HedgeSpec&);
    /**
     * Delay before a hedge is sent: the one in the service document, but at least twice
     * the expected time of the request. std::nullopt if hedging is disabled or the request
     * has batch priority or is not idempotent.
     * @param expected expected time of the request
     */
    static std::optional<Duration> delay(const HedgeSpec&, const RequestTraits&, Duration expected);
    /** Takes one hedge from the budget; returns false if the budget is used up or delay() returns std::nullopt. */
    bool tryHedge(const RequestTraits&, const HedgeSpec&);

private:
    detail::AttemptBudget m_budget;
};

} // namespace yuccashift
