#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/log.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace yuccashift {

/** Bounds on what a log may write. */
struct EventLogLimits {
    /** Lines of one kind: so many at once, and so many a second on average. */
    double burstLines = 300;
    double linesPerSecond = 120;
    /** Bytes that wait for a reader; the least important lines go first. */
    std::size_t maxQueuedBytes = 256 * 1024;
};

/**
 * Structured lines on a descriptor: `time=... level=... instance=... event=...`
 * and the fields. Never blocks: what a slow reader does not take waits in a
 * bounded buffer. Lines that are left out are counted and said. For one thread.
 */
class EventLog final : public LogSink {
public:
    EventLog(const Clock&, int descriptor, std::string instance, EventLogLimits = {});

    void write(LogLevel, std::string_view message, LogFields) override;
    /** Hands waiting lines to the descriptor as far as it takes them now, and says what was left out. */
    void flush();

    std::uint64_t droppedLineCount() const { return m_leftOut; }
    std::size_t queuedBytes() const { return m_waitingBytes; }

private:
    struct Kind {
        double allowance = 0;
        Instant refilledAt {};
        std::uint64_t leftOut = 0;
    };
    struct Line {
        LogLevel level;
        std::string text;
    };

    bool allow(std::string_view message, LogLevel);
    void append(LogLevel, std::string_view message, LogFields);
    void makeRoom(LogLevel);
    void sayLeftOut();

    const Clock& m_clock;
    int m_descriptor;
    std::string m_instance;
    EventLogLimits m_bounds;
    std::map<std::string, Kind, std::less<>> m_kinds;
    std::deque<Line> m_waiting;
    std::size_t m_waitingBytes = 0;
    /** The part of the first line that the descriptor has taken. */
    std::size_t m_taken = 0;
    std::uint64_t m_leftOut = 0;
    Instant m_saidAt {};
};

} // namespace yuccashift
