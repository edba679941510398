#include "yuccashift/resilience/retry_budget.hpp"

namespace yuccashift {

void RetryBudget::onRequest(const ServiceName& service, const OrganisationName& organisation, const RetrySpec& spec)
{
    m_budget.onRequest(service, organisation, spec.budgetPercent);
}

bool RetryBudget::tryRetry(const ServiceName& service, const OrganisationName& organisation, const RetrySpec& spec, std::uint32_t attempt)
{
    return attempt < spec.attempts && m_budget.trySpend(service, organisation);
}

} // namespace yuccashift
