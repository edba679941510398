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

/** Limits on the rate and the memory of a log. */
struct EventLogLimits {
    /** Token bucket for the lines with the same message: its size in lines, and its refill rate in lines per second. */
    double burstLines = 300;
    double linesPerSecond = 120;
    /** Maximum bytes that are queued for the reader; beyond it, lines of the lowest level are dropped first. */
    std::size_t maxQueuedBytes = 256 * 1024;
};

/**
 * Writes structured lines to a file descriptor: `time=... level=...
 * instance=... event=...`, then the fields. Never blocks: lines that a slow
 * reader has not read yet are kept in a bounded queue. Dropped lines are counted,
 * and the log reports their number. Not thread safe.
 */
class EventLog final : public LogSink {
public:
    EventLog(const Clock&, int descriptor, std::string instance, EventLogLimits = {});

    /** Queues the line unless the rate limit of its message drops it; flush() writes it. */
    void write(LogLevel, std::string_view message, LogFields) override;
    /** Writes as many queued lines as the descriptor accepts without blocking, and reports dropped lines at most once a second. */
    void flush();

    /** Lines dropped so far, by a rate limit or because the queue was full. */
    std::uint64_t droppedLineCount() const { return m_droppedLineCount; }
    std::size_t queuedBytes() const { return m_queuedBytes; }

private:
    /** Token bucket and dropped lines of one message. */
    struct MessageState {
        double tokens = 0;
        Instant refilledAt {};
        /** Lines dropped since the last report. */
        std::uint64_t unreportedDrops = 0;
    };
    struct QueuedLine {
        LogLevel level;
        std::string text;
    };

    /** Whether the rate limit of the message permits another line; takes a token if so. */
    bool allow(std::string_view message, LogLevel);
    void append(LogLevel, std::string_view message, LogFields);
    /** Drops queued lines up to this level, lowest level and oldest first, until the queue is within its limit. */
    void evictLines(LogLevel);
    void reportDroppedLines();

    const Clock& m_clock;
    int m_descriptor;
    std::string m_instance;
    EventLogLimits m_limits;
    std::map<std::string, MessageState, std::less<>> m_messages;
    std::deque<QueuedLine> m_queue;
    std::size_t m_queuedBytes = 0;
    /** Bytes of the first queued line that are already written. */
    std::size_t m_writtenBytes = 0;
    std::uint64_t m_droppedLineCount = 0;
    Instant m_reportedAt {};
};

} // namespace yuccashift
