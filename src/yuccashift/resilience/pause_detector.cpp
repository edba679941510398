#include "yuccashift/resilience/pause_detector.hpp"

#include <utility>

namespace yuccashift {

PauseDetector::PauseDetector(Duration threshold)
    : m_threshold(threshold)
{
}

bool PauseDetector::resumedFromPause(Instant now)
{
    const auto last = std::exchange(m_lastTick, now);
    return recordPause(std::exchange(m_ticked, true) && now - last >= m_threshold);
}

bool PauseDetector::resumedFromPause(Instant now, WallTime wallNow)
{
    // A wall clock that was set forward looks like a suspended machine; confirming
    // the state once too often costs little.
    const auto lastWall = std::exchange(m_lastWall, wallNow);
    const bool suspended = m_ticked && wallNow - lastWall >= m_threshold;
    const auto last = std::exchange(m_lastTick, now);
    return recordPause(std::exchange(m_ticked, true) && (suspended || now - last >= m_threshold));
}

bool PauseDetector::recordPause(bool paused)
{
    if (paused)
        m_pauseCount.fetch_add(1);
    return paused;
}

} // namespace yuccashift
