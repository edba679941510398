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

    /** A pipe that polls as writable takes so many bytes without blocking (POSIX). */
    constexpr std::size_t pipeAtom = 4096;
    constexpr Duration leftOutInterval = seconds(1);
    /** Kinds that are told apart; messages are constants of the code, so that few are expected. */
    constexpr std::size_t mostKinds = 256;

    std::string timeText(WallTime time)
    {
        const auto millis = std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
        const std::time_t whole = millis / 1000;
        std::tm parts {};
        gmtime_r(&whole, &parts);
        std::array<char, 32> text {};
        const auto n = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        std::snprintf(text.data() + n, text.size() - n, ".%03dZ", static_cast<int>(millis % 1000));
        return text.data();
    }

    bool writableNow(int descriptor)
    {
        pollfd it { descriptor, POLLOUT, 0 };
        return ::poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
    }

} // namespace

EventLog::EventLog(const Clock& clock, int descriptor, std::string instance, EventLogLimits bounds)
    : m_clock(clock)
    , m_descriptor(descriptor)
    , m_instance(std::move(instance))
    , m_bounds(bounds)
    , m_saidAt(clock.now())
{
}

bool EventLog::allow(std::string_view message, LogLevel level)
{
    auto it = m_kinds.find(message);
    if (it == m_kinds.end()) {
        if (m_kinds.size() >= mostKinds)
            return level >= LogLevel::Warning;
        it = m_kinds.emplace(std::string(message), Kind { m_bounds.burstLines, m_clock.now(), 0 }).first;
    }
    auto& kind = it->second;
    const auto now = m_clock.now();
    const std::chrono::duration<double> elapsed = now - kind.refilledAt;
    kind.allowance = std::min(m_bounds.burstLines, kind.allowance + elapsed.count() * m_bounds.linesPerSecond);
    kind.refilledAt = now;
    if (kind.allowance < 1) {
        ++kind.leftOut;
        ++m_leftOut;
        return false;
    }
    kind.allowance -= 1;
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
    line.append("time=").append(timeText(m_clock.wallNow())).append(" level=").append(toString(level));
    appendLogField(line, { "instance", m_instance });
    appendLogField(line, { "event", message });
    for (const auto& field : fields)
        appendLogField(line, field);
    line += '\n';
    m_waitingBytes += line.size();
    m_waiting.push_back({ level, std::move(line) });
    if (m_waitingBytes > m_bounds.maxQueuedBytes)
        makeRoom(level);
}

void EventLog::makeRoom(LogLevel newest)
{
    for (auto level = LogLevel::Debug; level <= newest; level = static_cast<LogLevel>(static_cast<int>(level) + 1)) {
        // The first line may be half written.
        for (std::size_t i = m_taken > 0 ? 1 : 0; i < m_waiting.size() && m_waitingBytes > m_bounds.maxQueuedBytes;) {
            if (m_waiting[i].level != level) {
                ++i;
                continue;
            }
            m_waitingBytes -= m_waiting[i].text.size();
            m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(i));
            ++m_leftOut;
            ++m_kinds["lines that nobody read"].leftOut;
        }
    }
}

void EventLog::sayLeftOut()
{
    const auto now = m_clock.now();
    if (now - m_saidAt < leftOutInterval)
        return;
    m_saidAt = now;
    for (auto& [message, kind] : m_kinds) {
        if (const auto n = std::exchange(kind.leftOut, 0); n > 0)
            append(LogLevel::Warning, "lines left out", { { "of", message }, { "count", n } });
    }
}

void EventLog::flush()
{
    sayLeftOut();
    while (!m_waiting.empty() && writableNow(m_descriptor)) {
        const auto& text = m_waiting.front().text;
        const auto rest = std::string_view(text).substr(m_taken, pipeAtom);
        const auto n = ::write(m_descriptor, rest.data(), rest.size());
        if (n <= 0) {
            // A reader that is gone never returns; lines wait in their bound.
            return;
        }
        m_taken += static_cast<std::size_t>(n);
        if (m_taken < text.size())
            continue;
        m_waitingBytes -= text.size();
        m_waiting.pop_front();
        m_taken = 0;
    }
}

} // namespace yuccashift
