#pragma once

#include <cstdint>

namespace yuccashift::detail {

/** Extra attempts that requests have earned, as a share of their number. */
class RatioBudget {
public:
    explicit RatioBudget(double reserve);

    /** One request arrived and earns its share of an extra attempt. */
    void earn(double share);
    bool canSpend() const;
    /** Takes one extra attempt; check canSpend() first. */
    void spend();

private:
    double m_balance;
    double m_most;
};

} // namespace yuccashift::detail
