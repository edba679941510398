#include "yuccashift/dispatch/crash_tracker.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** Crashes after which the request is assumed to be their cause. */
    constexpr std::int32_t crashThreshold = 3;
    /** How long the crashes of a request count after its latest one. */
    constexpr Duration crashRetention = seconds(60);
    /** Limits on the records kept, and on those sent in one heartbeat. */
    constexpr std::size_t maxRecords = 2048;
    constexpr std::size_t maxRecordsPerHeartbeat = 24;

} // namespace

CrashTracker::CrashTracker(const Clock& clock)
    : m_clock(clock)
{
}

void CrashTracker::expire()
{
    const auto oldest = m_clock.now() - crashRetention;
    std::erase_if(m_records, [&](const auto& entry) { return entry.second.lastCrash < oldest; });
    if (m_records.size() < maxRecords)
        return;
    m_records.erase(std::ranges::min_element(m_records, {}, [](const auto& entry) { return entry.second.lastCrash; }));
}

void CrashTracker::onServerCrash(std::uint64_t fingerprint, std::uint64_t server)
{
    expire();
    auto& record = m_records[fingerprint];
    record.servers.insert(server);
    record.lastCrash = m_clock.now();
}

void CrashTracker::setPeerCrashes(const InstanceId& instance, std::map<std::int64_t, std::int32_t> crashes)
{
    if (crashes.empty())
        m_peers.erase(instance);
    else
        m_peers[instance] = std::move(crashes);
}

bool CrashTracker::blocked(std::uint64_t fingerprint) const
{
    std::int32_t crashes = 0;
    const auto oldest = m_clock.now() - crashRetention;
    if (const auto it = m_records.find(fingerprint); it != m_records.end() && it->second.lastCrash >= oldest)
        crashes += static_cast<std::int32_t>(it->second.servers.size());
    for (const auto& [instance, reported] : m_peers) {
        if (const auto it = reported.find(static_cast<std::int64_t>(fingerprint)); it != reported.end())
            crashes += it->second;
    }
    return crashes >= crashThreshold;
}

std::map<std::int64_t, std::int32_t> CrashTracker::ownCrashes() const
{
    std::map<std::int64_t, std::int32_t> crashes;
    const auto recent = m_clock.now() - crashRetention;
    for (const auto& [fingerprint, record] : m_records) {
        if (record.lastCrash > recent && crashes.size() < maxRecordsPerHeartbeat)
            crashes[static_cast<std::int64_t>(fingerprint)] = static_cast<std::int32_t>(record.servers.size());
    }
    return crashes;
}

} // namespace yuccashift
