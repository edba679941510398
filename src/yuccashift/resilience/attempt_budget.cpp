#include "yuccashift/resilience/attempt_budget.hpp"

namespace yuccashift::detail {
namespace {

    /** Extra attempts before any request has earned one. */
    constexpr double serviceReserve = 3;
    constexpr double organisationReserve = 1;
    /** Organisations come from documents; the bound guards against a fault. */
    constexpr std::size_t mostOrganisations = 4096;

} // namespace

AttemptBudget::ServiceBudget::ServiceBudget()
    : total(serviceReserve)
{
}

void AttemptBudget::onRequest(const ServiceName& service, const OrganisationName& organisation, double percent)
{
    constexpr double hundred = 100;
    m_services.withShard(service, [&](auto& shard) {
        auto& budget = shard[service];
        budget.total.earn(percent / hundred);
        if (budget.organisations.size() >= mostOrganisations && !budget.organisations.contains(organisation))
            budget.organisations.clear();
        budget.organisations.try_emplace(organisation, organisationReserve).first->second.earn(percent / hundred);
    });
}

bool AttemptBudget::trySpend(const ServiceName& service, const OrganisationName& organisation)
{
    return m_services.withShard(service, [&](auto& shard) {
        const auto it = shard.find(service);
        if (it == shard.end())
            return false;
        const auto own = it->second.organisations.find(organisation);
        if (own == it->second.organisations.end() || !own->second.canSpend() || !it->second.total.canSpend())
            return false;
        own->second.spend();
        it->second.total.spend();
        return true;
    });
}

} // namespace yuccashift::detail
