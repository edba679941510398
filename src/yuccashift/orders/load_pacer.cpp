#include "yuccashift/orders/load_pacer.hpp"

#include <algorithm>

namespace yuccashift {

LoadPacer::LoadPacer(PacingRate rate)
    : m_rate(rate)
    , m_tokens(rate.burst)
{
}

void LoadPacer::refill(std::uint32_t instancesInRegion, Instant now)
{
    const auto lastRefill = m_refilledAt.value_or(now);
    m_refilledAt = std::max(lastRefill, now);
    const auto minutes = std::chrono::duration<double, std::ratio<60>>(*m_refilledAt - lastRefill).count();
    const auto share = m_rate.loadsPerMinute / std::max<std::uint32_t>(instancesInRegion, 1);
    // The burst also limits what is added if the clock jumped while the process was suspended.
    m_tokens = std::min(m_rate.burst, m_tokens + minutes * share);
}

bool LoadPacer::tryStartLoad(std::uint32_t instancesInRegion, Instant now)
{
    refill(instancesInRegion, now);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace yuccashift
