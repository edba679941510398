#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace yuccashift {

/** The bound that all instances share: in any window, so many repeats for each service. */
struct RetryBudgetLimits {
    /** Repeats for each request. */
    double ratio = 0.2;
    Duration window = seconds(10);
    /** Repeats beyond the ratio, over all instances together. */
    double slack = 50;
};

/**
 * This instance's part of a bound on repeated sends, kept without asking the
 * others: the ratio of its own requests and an equal share of the slack. The
 * parts of all instances add up to less than the bound, whoever is cut off.
 */
class FleetRetryBudget {
public:
    FleetRetryBudget(const Clock&, RetryBudgetLimits);

    /** Instances that may exist at once, seen or not. */
    void setInstanceCount(std::size_t instances);
    /** One request for the service, not counting its repeats. */
    void onRequest(const ServiceName&);
    /** Takes one repeat; false where the allowance is used up. */
    bool tryRetry(const ServiceName&);

private:
    struct Window {
        std::deque<Instant> requests;
        std::deque<Instant> repeats;
    };
    void expire(Window&) const;

    const Clock& m_clock;
    RetryBudgetLimits m_bound;
    std::size_t m_instances = 1;
    std::unordered_map<ServiceName, Window> m_windows;
};

} // namespace yuccashift
