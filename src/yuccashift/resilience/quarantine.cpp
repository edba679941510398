#include "yuccashift/resilience/quarantine.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/random.hpp"

#include <algorithm>
#include <functional>

namespace yuccashift {

Quarantine::Quarantine(QuarantineLimits limits)
    : m_limits(limits)
    , m_salt(makeSystemRandom()->next())
{
}

void Quarantine::onBackendCrash(std::uint64_t backend, std::span<const std::uint64_t> inProgress, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const Crash crash { backend, now, mix64(m_salt ^ ++m_crashCount), true, 0 };
    for (const auto fingerprint : inProgress)
        addCrash(fingerprint, crash);
}

void Quarantine::onSuccess(std::uint64_t fingerprint, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end())
        return;
    // The entry stays without crashes until it expires, since peers still send the old records.
    if (!it->second.crashes.empty())
        it->second.servedSendsLeft = m_limits.timesServedSent;
    it->second.crashes.clear();
    it->second.clearedUntil = now;
}

bool Quarantine::isSameCrash(const Crash& left, const Crash& right) const
{
    // Every instance with the request in progress there reports the crash, at slightly
    // different times. A report delayed in transit appears more recent than it is, so
    // its time alone does not distinguish it from a report of another crash.
    const bool closeInTime = std::chrono::abs(left.at - right.at) < m_limits.duplicateWindow;
    return left.backend == right.backend && (closeInTime || (left.id != 0 && left.id == right.id));
}

void Quarantine::addCrash(std::uint64_t fingerprint, const Crash& added)
{
    auto& suspect = suspectFor(fingerprint);
    // Crashes that expired since the last call of expire() must not count towards the limit.
    std::erase_if(suspect.crashes, [&](const Crash& crash) { return added.at - crash.at >= m_limits.expiry; });
    const bool isDuplicate = std::ranges::any_of(suspect.crashes, [&](const Crash& crash) { return isSameCrash(crash, added); });
    if (isDuplicate || added.at <= suspect.clearedUntil || suspect.crashes.size() >= m_limits.maxCrashesPerRequest)
        return;
    suspect.crashes.push_back(added);
}

Quarantine::Suspect& Quarantine::suspectFor(std::uint64_t fingerprint)
{
    if (!m_suspects.contains(fingerprint))
        evictIfFull();
    return m_suspects[fingerprint];
}

void Quarantine::evictIfFull()
{
    if (m_suspects.size() < m_limits.maxRequests)
        return;
    const auto withFewestCrashes = std::ranges::min_element(m_suspects, {}, [](const auto& entry) { return entry.second.crashes.size(); });
    m_suspects.erase(withFewestCrashes);
}

std::vector<Quarantine::Crash> Quarantine::unexpiredCrashes(const Suspect& suspect, Instant now) const
{
    auto crashes = suspect.crashes;
    std::erase_if(crashes, [&](const Crash& crash) { return now - crash.at >= m_limits.expiry; });
    return crashes;
}

std::size_t Quarantine::countCrashes(std::uint64_t fingerprint, Instant now) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_suspects.find(fingerprint);
    return it == m_suspects.end() ? 0 : unexpiredCrashes(it->second, now).size();
}

bool Quarantine::isQuarantined(std::uint64_t fingerprint, Instant now) const
{
    return countCrashes(fingerprint, now) >= m_limits.crashThreshold;
}

bool Quarantine::isSuspect(std::uint64_t fingerprint, Instant now) const
{
    return countCrashes(fingerprint, now) > 0;
}

bool Quarantine::mayRunAlongside(std::uint64_t fingerprint, std::span<const std::uint64_t> inProgress, Instant now) const
{
    if (!isSuspect(fingerprint, now))
        return true;
    return std::ranges::none_of(inProgress, [&](std::uint64_t other) { return isSuspect(other, now); });
}

CrashRecord Quarantine::makeRecord(std::uint64_t fingerprint, const Crash& crash, Instant now) const
{
    return { fingerprint, crash.backend, m_limits.expiry - (now - crash.at), crash.id };
}

std::vector<CrashRecord> Quarantine::takeRecordsForHeartbeat(Instant now, std::size_t limit)
{
    struct PendingRecord {
        std::uint64_t fingerprint;
        Crash* crash;
    };
    const std::lock_guard lock(m_mutex);
    std::vector<PendingRecord> pending;
    for (auto& [fingerprint, suspect] : m_suspects) {
        for (auto& crash : suspect.crashes) {
            if (crash.sendInRegion && now - crash.at < m_limits.expiry)
                pending.push_back({ fingerprint, &crash });
        }
    }
    const auto taken = std::min(limit, pending.size());
    std::ranges::partial_sort(pending, pending.begin() + static_cast<std::ptrdiff_t>(taken), {}, [](const PendingRecord& entry) { return entry.crash->timesSent; });
    std::vector<CrashRecord> records;
    for (std::size_t n = 0; n < taken; ++n) {
        ++pending[n].crash->timesSent;
        records.push_back(makeRecord(pending[n].fingerprint, *pending[n].crash, now));
    }
    return records;
}

std::vector<CrashRecord> Quarantine::newestRecords(Instant now, std::size_t limit) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<CrashRecord> records;
    for (const auto& [fingerprint, suspect] : m_suspects) {
        for (const auto& crash : unexpiredCrashes(suspect, now))
            records.push_back(makeRecord(fingerprint, crash, now));
    }
    const auto taken = std::min(limit, records.size());
    std::ranges::partial_sort(records, records.begin() + static_cast<std::ptrdiff_t>(taken), std::greater<> {}, &CrashRecord::remaining);
    records.resize(taken);
    return records;
}

void Quarantine::merge(std::span<const CrashRecord> records, Instant now, bool sendInRegion)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& record : records) {
        // A remaining time outside the valid range can only come from another version or a corrupt record.
        if (record.remaining <= Duration::zero() || record.remaining > m_limits.expiry)
            continue;
        addCrash(record.fingerprint, { record.backend, now - (m_limits.expiry - record.remaining), record.crashId, sendInRegion, 0 });
    }
}

std::vector<ServedRecord> Quarantine::takeServedForHeartbeat(Instant now, std::size_t limit)
{
    const std::lock_guard lock(m_mutex);
    std::vector<ServedRecord> records;
    for (auto& [fingerprint, suspect] : m_suspects) {
        if (suspect.servedSendsLeft == 0 || records.size() == limit)
            continue;
        --suspect.servedSendsLeft;
        records.push_back({ fingerprint, now - suspect.clearedUntil });
    }
    return records;
}

std::vector<ServedRecord> Quarantine::newestServed(Instant now, std::size_t limit) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<ServedRecord> records;
    for (const auto& [fingerprint, suspect] : m_suspects) {
        if (suspect.clearedUntil != Instant {})
            records.push_back({ fingerprint, now - suspect.clearedUntil });
    }
    const auto taken = std::min(limit, records.size());
    std::ranges::partial_sort(records, records.begin() + static_cast<std::ptrdiff_t>(taken), {}, &ServedRecord::ago);
    records.resize(taken);
    return records;
}

void Quarantine::mergeServed(std::span<const ServedRecord> records, Instant now, bool sendInRegion)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& record : records) {
        if (record.ago < Duration::zero() || record.ago >= m_limits.expiry)
            continue;
        auto& suspect = suspectFor(record.fingerprint);
        const auto servedAt = now - record.ago;
        if (servedAt <= suspect.clearedUntil)
            continue;
        std::erase_if(suspect.crashes, [&](const Crash& crash) { return crash.at <= servedAt; });
        suspect.clearedUntil = servedAt;
        if (sendInRegion)
            suspect.servedSendsLeft = m_limits.timesServedSent;
    }
}

void Quarantine::expire(Instant now)
{
    const std::lock_guard lock(m_mutex);
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        auto& suspect = it->second;
        std::erase_if(suspect.crashes, [&](const Crash& crash) { return now - crash.at >= m_limits.expiry; });
        const bool isExpired = suspect.crashes.empty() && now - suspect.clearedUntil >= m_limits.expiry;
        it = isExpired ? m_suspects.erase(it) : std::next(it);
    }
}

std::size_t Quarantine::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_suspects.size();
}

} // namespace yuccashift
