#include "yuccashift/kernel/clock.hpp"

namespace yuccashift {

Clock::~Clock() = default;

Instant SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

Instant VirtualClock::now() const
{
    return m_now;
}

WallTime VirtualClock::wallNow() const
{
    return WallTime(std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch()));
}

void VirtualClock::advance(Duration duration)
{
    m_now += duration;
}

} // namespace yuccashift
