#include "yuccashift/resilience/hedge_budget.hpp"

#include <algorithm>

namespace yuccashift {

void HedgeBudget::onRequest(const ServiceName& service, const OrganisationName& organisation, const HedgeSpec& spec)
{
    m_budget.onRequest(service, organisation, spec.budgetPercent);
}

std::optional<Duration> HedgeBudget::delay(const HedgeSpec& spec, const RequestTraits& request, Duration expected)
{
    if (!request.idempotent || request.priority == Priority::Batch || spec.after <= milliseconds(0))
        return std::nullopt;
    return std::max<Duration>(spec.after, expected * 2);
}

bool HedgeBudget::tryHedge(const RequestTraits& request, const HedgeSpec& spec)
{
    return delay(spec, request, {}) && m_budget.trySpend(request.service, request.organisation);
}

} // namespace yuccashift
