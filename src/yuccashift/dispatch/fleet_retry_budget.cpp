#include "yuccashift/dispatch/fleet_retry_budget.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** Part of the bound that is used: windows of instances and judges do not line up. */
    constexpr double usedShare = 0.8;

} // namespace

FleetRetryBudget::FleetRetryBudget(const Clock& clock, RetryBudgetLimits bound)
    : m_clock(clock)
    , m_bound(bound)
{
}

void FleetRetryBudget::setInstanceCount(std::size_t instances)
{
    m_instances = std::max<std::size_t>(1, instances);
}

void FleetRetryBudget::expire(Window& window) const
{
    const auto oldest = m_clock.now() - m_bound.window;
    while (!window.requests.empty() && window.requests.front() < oldest)
        window.requests.pop_front();
    while (!window.repeats.empty() && window.repeats.front() < oldest)
        window.repeats.pop_front();
}

void FleetRetryBudget::onRequest(const ServiceName& service)
{
    auto& window = m_windows[service];
    expire(window);
    window.requests.push_back(m_clock.now());
}

bool FleetRetryBudget::tryRetry(const ServiceName& service)
{
    auto& window = m_windows[service];
    expire(window);
    const auto requests = static_cast<double>(window.requests.size());
    const double most = usedShare * (m_bound.ratio * requests + m_bound.slack / static_cast<double>(m_instances));
    if (static_cast<double>(window.repeats.size()) + 1 > most)
        return false;
    window.repeats.push_back(m_clock.now());
    return true;
}

} // namespace yuccashift
