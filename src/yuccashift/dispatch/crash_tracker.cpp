#include "yuccashift/dispatch/crash_tracker.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** Deaths after which a request is held to be their cause. */
    constexpr std::int32_t deathsToBlock = 3;
    /** How long a death counts against a request. */
    constexpr Duration memory = seconds(60);
    /** Records kept at once, and told to others in one heartbeat. */
    constexpr std::size_t mostRecords = 2048;
    constexpr std::size_t mostTold = 24;

} // namespace

CrashTracker::CrashTracker(const Clock& clock)
    : m_clock(clock)
{
}

void CrashTracker::expire()
{
    const auto oldest = m_clock.now() - memory;
    std::erase_if(m_records, [&](const auto& entry) { return entry.second.last < oldest; });
    if (m_records.size() < mostRecords)
        return;
    m_records.erase(std::ranges::min_element(m_records, {}, [](const auto& entry) { return entry.second.last; }));
}

void CrashTracker::onServerCrash(std::uint64_t fingerprint, std::uint64_t server)
{
    expire();
    auto& record = m_records[fingerprint];
    record.servers.insert(server);
    record.last = m_clock.now();
}

void CrashTracker::setPeerCrashes(const InstanceId& instance, std::map<std::int64_t, std::int32_t> deaths)
{
    if (deaths.empty())
        m_peers.erase(instance);
    else
        m_peers[instance] = std::move(deaths);
}

bool CrashTracker::blocked(std::uint64_t fingerprint) const
{
    std::int32_t deaths = 0;
    const auto oldest = m_clock.now() - memory;
    if (const auto it = m_records.find(fingerprint); it != m_records.end() && it->second.last >= oldest)
        deaths += static_cast<std::int32_t>(it->second.servers.size());
    for (const auto& [instance, told] : m_peers) {
        if (const auto it = told.find(static_cast<std::int64_t>(fingerprint)); it != told.end())
            deaths += it->second;
    }
    return deaths >= deathsToBlock;
}

std::map<std::int64_t, std::int32_t> CrashTracker::ownCrashes() const
{
    std::map<std::int64_t, std::int32_t> deaths;
    const auto recent = m_clock.now() - memory;
    for (const auto& [fingerprint, record] : m_records) {
        if (record.last > recent && deaths.size() < mostTold)
            deaths[static_cast<std::int64_t>(fingerprint)] = static_cast<std::int32_t>(record.servers.size());
    }
    return deaths;
}

} // namespace yuccashift
