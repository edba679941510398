#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <atomic>
#include <cstdint>

namespace yuccashift {

/**
 * Detects that the process did not run for a while. State from before such a pause
 * may be stale and must be confirmed before it is acted on. resumedFromPause() must
 * be called from one thread; the number of pauses may be read from any thread.
 */
class PauseDetector {
public:
    /** @param threshold time between two calls of resumedFromPause() from which the process counts as paused */
    explicit PauseDetector(Duration threshold = seconds(2));

    /** Returns whether the process was paused between the previous call and this one. */
    bool resumedFromPause(Instant now);
    /** As above; also detects that the machine was suspended while its monotonic clock stood still. */
    bool resumedFromPause(Instant now, WallTime wallNow);

    /** Number of pauses detected. State obtained under an earlier number must be confirmed. */
    std::uint64_t pauseCount() const { return m_pauseCount.load(); }

private:
    bool recordPause(bool paused);

    Duration m_threshold;
    Instant m_lastTick {};
    WallTime m_lastWall {};
    bool m_ticked = false;
    std::atomic<std::uint64_t> m_pauseCount = 0;
};

} // namespace yuccashift
