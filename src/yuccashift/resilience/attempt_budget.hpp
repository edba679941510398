#pragma once

#include "yuccashift/kernel/ids.hpp"
#include "yuccashift/kernel/sharded_map.hpp"
#include "yuccashift/resilience/ratio_budget.hpp"

namespace yuccashift::detail {

/**
 * Extra attempts per service and, within it, per organisation. Both must have
 * budget, so the sum over organisations stays within the service's share.
 */
class AttemptBudget {
public:
    void onRequest(const ServiceName&, const OrganisationName&, double percent);
    /** Takes one extra attempt where the budgets allow it. */
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
