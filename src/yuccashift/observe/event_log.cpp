#include "yuccashift/observe/event_log.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <ctime>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace yuccashift {

namespace {

    /** A pipe that poll() reports as writable accepts this many bytes without blocking (POSIX). */
    constexpr std::size_t pipeAtomicBytes = 4096;
    constexpr Duration dropReportInterval = seconds(1);
    /** Maximum messages with a rate limit of their own. Messages are constants in the code, so few are expected. */
    constexpr std::size_t maxRateLimitedMessages = 256;

    std::string formatTime(WallTime time)
    {
        const auto millis = std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
        const std::time_t wholeSeconds = millis / 1000;
        std::tm parts {};
        gmtime_r(&wholeSeconds, &parts);
        std::array<char, 32> text {};
        const auto n = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        std::snprintf(text.data() + n, text.size() - n, ".%03dZ", static_cast<int>(millis % 1000));
        return text.data();
    }

    bool writableNow(int descriptor)
    {
        pollfd request { descriptor, POLLOUT, 0 };
        return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
    }

} // namespace

EventLog::EventLog(const Clock& clock, int descriptor, std::string instance, EventLogLimits limits)
    : m_clock(clock)
    , m_descriptor(descriptor)
    , m_instance(std::move(instance))
    , m_limits(limits)
    , m_reportedAt(clock.now())
{
}

bool EventLog::allow(std::string_view message, LogLevel level)
{
    auto it = m_messages.find(message);
    if (it == m_messages.end()) {
        if (m_messages.size() >= maxRateLimitedMessages)
            return level >= LogLevel::Warning;
        it = m_messages.emplace(std::string(message), MessageState { m_limits.burstLines, m_clock.now(), 0 }).first;
    }
    auto& state = it->second;
    const auto now = m_clock.now();
    const std::chrono::duration<double> elapsed = now - state.refilledAt;
    state.tokens = std::min(m_limits.burstLines, state.tokens + elapsed.count() * m_limits.linesPerSecond);
    state.refilledAt = now;
    if (state.tokens < 1) {
        ++state.unreportedDrops;
        ++m_droppedLineCount;
        return false;
    }
    state.tokens -= 1;
    return true;
}

void EventLog::write(LogLevel level, std::string_view message, LogFields fields)
{
    if (allow(message, level))
        append(level, message, fields);
}

void EventLog::append(LogLevel level, std::string_view message, LogFields fields)
{
    std::string line;
    line.reserve(256);
    line.append("time=").append(formatTime(m_clock.wallNow())).append(" level=").append(toString(level));
    appendLogField(line, { "instance", m_instance });
    appendLogField(line, { "event", message });
    for (const auto& field : fields)
        appendLogField(line, field);
    line += '\n';
    m_queuedBytes += line.size();
    m_queue.push_back({ level, std::move(line) });
    if (m_queuedBytes > m_limits.maxQueuedBytes)
        evictLines(level);
}

void EventLog::evictLines(LogLevel maxLevel)
{
    for (auto level = LogLevel::Debug; level <= maxLevel; level = static_cast<LogLevel>(static_cast<int>(level) + 1)) {
        // A partly written first line must stay, or the reader would get a truncated line.
        for (std::size_t i = m_writtenBytes > 0 ? 1 : 0; i < m_queue.size() && m_queuedBytes > m_limits.maxQueuedBytes;) {
            if (m_queue[i].level != level) {
                ++i;
                continue;
            }
            m_queuedBytes -= m_queue[i].text.size();
            m_queue.erase(m_queue.begin() + static_cast<std::ptrdiff_t>(i));
            ++m_droppedLineCount;
            ++m_messages["lines that nobody read"].unreportedDrops;
        }
    }
}

void EventLog::reportDroppedLines()
{
    const auto now = m_clock.now();
    if (now - m_reportedAt < dropReportInterval)
        return;
    m_reportedAt = now;
    for (auto& [message, state] : m_messages) {
        if (const auto n = std::exchange(state.unreportedDrops, 0); n > 0)
            append(LogLevel::Warning, "log lines dropped", { { "of", message }, { "count", n } });
    }
}

void EventLog::flush()
{
    reportDroppedLines();
    while (!m_queue.empty() && writableNow(m_descriptor)) {
        const auto& text = m_queue.front().text;
        const auto chunk = std::string_view(text).substr(m_writtenBytes, pipeAtomicBytes);
        const auto n = ::write(m_descriptor, chunk.data(), chunk.size());
        if (n <= 0) {
            // If the reader is gone for good, the queue still stays within its limit.
            return;
        }
        m_writtenBytes += static_cast<std::size_t>(n);
        if (m_writtenBytes < text.size())
            continue;
        m_queuedBytes -= text.size();
        m_queue.pop_front();
        m_writtenBytes = 0;
    }
}

} // namespace yuccashift
