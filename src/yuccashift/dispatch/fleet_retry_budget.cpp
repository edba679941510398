#include "yuccashift/dispatch/fleet_retry_budget.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** Share of the limit that is used, since the windows of the instances and of a fleet-wide measurement do not line up. */
    constexpr double usableShare = 0.8;
    /** An instance has heard of all others this long after its start. */
    constexpr Duration listeningTime = seconds(2);
    /** Share of its part that an instance uses in its first window, in which its predecessor may have used the whole part. */
    constexpr double firstWindowShare = 0.5;

} // namespace

FleetRetryBudget::FleetRetryBudget(const Clock& clock, RetryBudgetLimits limits)
    : m_clock(clock)
    , m_limits(limits)
    , m_startedAt(clock.now())
{
}

void FleetRetryBudget::setInstanceCount(std::size_t instances)
{
    // An instance that is not heard any more may be on the other side of a partition.
    m_instances = std::max(m_instances, instances);
}

double FleetRetryBudget::shareOfSlack() const
{
    const auto age = m_clock.now() - m_startedAt;
    if (m_instances == 0 || age < listeningTime)
        return 0;
    const double share = usableShare * m_limits.slack / static_cast<double>(m_instances);
    return age < m_limits.window ? firstWindowShare * share : share;
}

void FleetRetryBudget::expire(Window& window) const
{
    const auto oldest = m_clock.now() - m_limits.window;
    while (!window.requests.empty() && window.requests.front() < oldest)
        window.requests.pop_front();
    while (!window.retries.empty() && window.retries.front() < oldest)
        window.retries.pop_front();
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
    const double maxRetries = usableShare * m_limits.ratio * requests + shareOfSlack();
    if (static_cast<double>(window.retries.size()) + 1 > maxRetries)
        return false;
    window.retries.push_back(m_clock.now());
    return true;
}

} // namespace yuccashift
