#include "yuccashift/resilience/attempt_budget.hpp"

namespace yuccashift::detail {
namespace {

    /** Extra attempts available before any request has earned one. */
    constexpr double initialServiceBudget = 3;
    constexpr double initialOrganisationBudget = 1;
    /** Organisations come from service documents; the bound only guards against a fault there. */
    constexpr std::size_t maxOrganisations = 4096;

} // namespace

AttemptBudget::ServiceBudget::ServiceBudget()
    : total(initialServiceBudget)
{
}

void AttemptBudget::onRequest(const ServiceName& service, const OrganisationName& organisation, double percent)
{
    constexpr double hundred = 100;
    m_services.withShard(service, [&](auto& shard) {
        auto& budget = shard[service];
        budget.total.earn(percent / hundred);
        if (budget.organisations.size() >= maxOrganisations && !budget.organisations.contains(organisation))
            budget.organisations.clear();
        budget.organisations.try_emplace(organisation, initialOrganisationBudget).first->second.earn(percent / hundred);
    });
}

bool AttemptBudget::trySpend(const ServiceName& service, const OrganisationName& organisation)
{
    return m_services.withShard(service, [&](auto& shard) {
        const auto it = shard.find(service);
        if (it == shard.end())
            return false;
        const auto organisationBudget = it->second.organisations.find(organisation);
        if (organisationBudget == it->second.organisations.end() || !organisationBudget->second.canSpend() || !it->second.total.canSpend())
            return false;
        organisationBudget->second.spend();
        it->second.total.spend();
        return true;
    });
}

} // namespace yuccashift::detail
