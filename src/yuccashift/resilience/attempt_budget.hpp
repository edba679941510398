#pragma once

#include "yuccashift/kernel/ids.hpp"
#include "yuccashift/kernel/sharded_map.hpp"
#include "yuccashift/resilience/ratio_budget.hpp"

namespace yuccashift::detail {

/**
 * Budgets of extra attempts per service and, within it, per organisation. An extra
 * attempt needs both, so that the sum over organisations stays within the budget
 * of the service. Thread safe.
 */
class AttemptBudget {
public:
    /**
     * Credits one request to both budgets.
     * @param percent extra attempts earned per 100 requests
     */
    void onRequest(const ServiceName&, const OrganisationName&, double percent);
    /** Takes one extra attempt from both budgets; returns false if either is used up. */
    bool trySpend(const ServiceName&, const OrganisationName&);

private:
    struct ServiceBudget {
        RatioBudget total;
        std::unordered_map<OrganisationName, RatioBudget> organisations;
        ServiceBudget();
    };

    ShardedMap<ServiceName, ServiceBudget> m_services;
};

} // namespace yuccashift::detail
