#include "yuccashift/resilience/ratio_budget.hpp"

#include <algorithm>

namespace yuccashift::detail {
namespace {

    /** Maximum balance saved in quiet periods, in extra attempts, which an outage can use up at once. */
    constexpr double maxSaved = 20;

} // namespace

RatioBudget::RatioBudget(double initialBalance)
    : m_balance(initialBalance)
    , m_maxBalance(std::max(initialBalance, maxSaved))
{
}

void RatioBudget::earn(double share)
{
    m_balance = std::min(m_maxBalance, m_balance + share);
}

bool RatioBudget::canSpend() const
{
    return m_balance >= 1;
}

void RatioBudget::spend()
{
    m_balance -= 1;
}

} // namespace yuccashift::detail
