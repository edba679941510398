#pragma once

#include <cstdint>

namespace yuccashift::detail {

/** Budget of extra attempts, of which each request earns a fraction. */
class RatioBudget {
public:
    /** @param initialBalance extra attempts available before any request */
    explicit RatioBudget(double initialBalance);

    /** Credits one request with its share of an extra attempt. */
    void earn(double share);
    bool canSpend() const;
    /** Takes one extra attempt; check canSpend() first. */
    void spend();

private:
    double m_balance;
    double m_maxBalance;
};

} // namespace yuccashift::detail
