#include "yuccashift/resilience/hedge_budget.hpp"

namespace yuccashift {

void HedgeBudget::onRequest(const ServiceName& service, const OrganisationName& organisation, const HedgeSpec& spec)
{
    m_budget.onRequest(service, organisation, spec.budgetPercent);
}

std::optional<Duration> HedgeBudget::delay(const HedgeSpec& spec, bool idempotent)
{
    if (!idempotent || spec.after <= milliseconds(0))
        return std::nullopt;
    return spec.after;
}

bool HedgeBudget::tryHedge(const ServiceName& service, const OrganisationName& organisation, const HedgeSpec& spec, bool idempotent)
{
    return delay(spec, idempotent) && m_budget.trySpend(service, organisation);
}

} // namespace yuccashift
