#pragma once

#include <chrono>

namespace yuccashift {

/** Point on the monotonic clock. Never compared across processes. */
using Instant = std::chrono::steady_clock::time_point;
/** Length of time on the monotonic clock. */
using Duration = std::chrono::steady_clock::duration;
/** Point on the wall clock; only for traces, logs and identifiers. */
using WallTime = std::chrono::system_clock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Source of time for everything that decides. */
class Clock {
public:
    virtual ~Clock();
    virtual Instant now() const = 0;
    virtual WallTime wallNow() const = 0;
};

/** The clocks of the operating system. */
class SystemClock final : public Clock {
public:
    Instant now() const override;
    WallTime wallNow() const override;
};

/** Clock that moves only when told to. For tests, fuzzers and measurements. */
class VirtualClock final : public Clock {
public:
    Instant now() const override;
    WallTime wallNow() const override;
    void advance(Duration);

private:
    Instant m_now { seconds(1) };
};

/** Milliseconds of a duration, rounded down. */
inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

} // namespace yuccashift
