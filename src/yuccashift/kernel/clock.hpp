#pragma once

#include <chrono>

namespace yuccashift {

/** Time point of the monotonic clock; comparable only within one process. */
using Instant = std::chrono::steady_clock::time_point;
/** Duration on the monotonic clock. */
using Duration = std::chrono::steady_clock::duration;
/** Wall-clock time; used only in traces, logs and identifiers. */
using WallTime = std::chrono::system_clock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time source that is injected into all time-dependent logic. */
class Clock {
public:
    virtual ~Clock();
    virtual Instant now() const = 0;
    virtual WallTime wallNow() const = 0;
};

/** Reads the clocks of the operating system. */
class SystemClock final : public Clock {
public:
    Instant now() const override;
    WallTime wallNow() const override;
};

/** Clock that moves only when advance() is called; for tests, fuzzers and benchmarks. */
class VirtualClock final : public Clock {
public:
    Instant now() const override;
    WallTime wallNow() const override;
    void advance(Duration);

private:
    Instant m_now { seconds(1) };
};

/** Converts a duration to whole milliseconds, truncated towards zero. */
inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

} // namespace yuccashift
