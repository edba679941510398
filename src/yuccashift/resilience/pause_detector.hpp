#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <atomic>
#include <cstdint>

namespace yuccashift {

/**
 * Notices that the process did not run for a while. Whatever it believed
 * before is then to be confirmed again before it is acted on. One thread
 * ticks; generation() may be read from any.
 */
class PauseDetector {
public:
    /** @param threshold gap between two ticks from which on the process counts as paused */
    explicit PauseDetector(Duration threshold = seconds(2));

    /** Whether a pause ended between the last tick and this one. */
    bool resumedFromPause(Instant now);
    /** As above; also notices a suspended machine, whose monotonic clock stood still. */
    bool resumedFromPause(Instant now, WallTime wallNow);

    /** Grows by one with each pause; a belief is fresh where it was formed under the current one. */
    std::uint64_t pauseCount() const { return m_generation.load(); }

private:
    bool note(bool paused);

    Duration m_threshold;
    Instant m_lastTick {};
    WallTime m_lastWall {};
    bool m_ticked = false;
    std::atomic<std::uint64_t> m_generation = 0;
};

} // namespace yuccashift
