#include "standins/common/cache_event_log.hpp"

#include <boost/json/object.hpp>
#include <cstdio>

namespace standins {

namespace {

    constexpr std::size_t keptEvents = 65536;
    constexpr std::size_t eventsPerAnswer = 4096;
    constexpr unsigned seed = 20261203;

} // namespace

CacheEventLog::CacheEventLog(Clock::duration lag, unsigned gapPercent)
    : m_lag(lag)
    , m_gapPercent(gapPercent)
    , m_random(seed)
{
}

void CacheEventLog::add(std::uint64_t block, bool stored)
{
    constexpr unsigned hundred = 100;
    ++m_sequence;
    // A lost event still consumes a sequence number, so that readers can detect the gap.
    if (m_random() % hundred < m_gapPercent)
        return;
    m_events.push_back({ m_sequence, Clock::now(), block, stored });
    if (m_events.size() > keptEvents)
        m_events.pop_front();
}

boost::json::array CacheEventLog::after(std::uint64_t sequence) const
{
    boost::json::array events;
    const auto newest = Clock::now() - m_lag;
    for (const auto& event : m_events) {
        if (event.sequence <= sequence)
            continue;
        if (event.at > newest || events.size() == eventsPerAnswer)
            break;
        events.push_back({ { "sequence", event.sequence }, { "kind", event.stored ? "stored" : "evicted" }, { "block", blockName(event.block) } });
    }
    return events;
}

std::string blockName(std::uint64_t block)
{
    constexpr int digits = 16;
    char buf[digits + 1];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(block));
    return buf;
}

std::uint64_t blockFromName(const std::string& name)
{
    constexpr int base = 16;
    return std::stoull(name, nullptr, base);
}

} // namespace standins
