#include "yuccashift/resilience/ratio_budget.hpp"

#include <algorithm>

namespace yuccashift::detail {
namespace {

    /** Savings of quiet times, in extra attempts, that an outage can use up at once. */
    constexpr double mostSaved = 20;

} // namespace

RatioBudget::RatioBudget(double reserve)
    : m_balance(reserve)
    , m_most(std::max(reserve, mostSaved))
{
}

void RatioBudget::earn(double share)
{
    m_balance = std::min(m_most, m_balance + share);
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
