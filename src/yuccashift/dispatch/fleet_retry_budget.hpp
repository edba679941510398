#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace yuccashift {

/** Limit on the retries for one service in any window, over all instances together. */
struct RetryBudgetLimits {
    /** Retries allowed per request. */
    double ratio = 0.2;
    Duration window = seconds(10);
    /** Retries allowed on top of the ratio, over all instances together. */
    double slack = 50;
};

/**
 * This instance's share of the fleet's retry budget, kept without coordination:
 * the ratio applied to its own requests, and an equal share of the slack. The
 * shares of all instances add up to less than the limit even if some of them
 * cannot reach each other or have just started.
 */
class FleetRetryBudget {
public:
    FleetRetryBudget(const Clock&, RetryBudgetLimits);

    /**
     * Sets the number of instances that may run at once, including any that this one has not heard of.
     * The largest number so far counts. Without a number there is no share of the slack.
     */
    void setInstanceCount(std::size_t instances);
    /** Counts one request for the service; not to be called for its retries. */
    void onRequest(const ServiceName&);
    /** Takes one retry from the budget; returns false if the budget is used up. */
    bool tryRetry(const ServiceName&);
    /** Retries that this instance may send in a window on top of the ratio, for each service. */
    double shareOfSlack() const;

private:
    struct Window {
        std::deque<Instant> requests;
        std::deque<Instant> retries;
    };
    void expire(Window&) const;

    const Clock& m_clock;
    RetryBudgetLimits m_limits;
    Instant m_startedAt;
    std::size_t m_instances = 0;
    std::unordered_map<ServiceName, Window> m_windows;
};

} // namespace yuccashift
