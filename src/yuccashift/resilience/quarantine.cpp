#include "yuccashift/resilience/quarantine.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/random.hpp"

#include <algorithm>
#include <functional>

namespace yuccashift {

Quarantine::Quarantine(QuarantineLimits bounds)
    : m_bounds(bounds)
    , m_salt(makeSystemRandom()->next())
{
}

void Quarantine::onBackendCrash(std::uint64_t backend, std::span<const std::uint64_t> inProgress, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const Death death { backend, now, mix64(m_salt ^ ++m_deaths), true, 0 };
    for (const auto fingerprint : inProgress)
        add(fingerprint, death);
}

void Quarantine::onSuccess(std::uint64_t fingerprint, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end())
        return;
    // Kept without deaths until it expires, since peers still spread the old records.
    it->second.deaths.clear();
    it->second.clearedUntil = now;
}

bool Quarantine::isSame(const Death& left, const Death& right) const
{
    // One death is reported by every instance that had the request there, at slightly
    // different times. A report that was held up on its way seems younger than it is,
    // so that its time alone does not tell it from another death.
    const bool near = std::chrono::abs(left.at - right.at) < m_bounds.duplicateWindow;
    return left.backend == right.backend && (near || (left.id != 0 && left.id == right.id));
}

void Quarantine::add(std::uint64_t fingerprint, const Death& added)
{
    if (!m_suspects.contains(fingerprint))
        makeRoom();
    auto& suspect = m_suspects[fingerprint];
    // Deaths that no longer count must not take the room of new ones between two sweeps.
    std::erase_if(suspect.deaths, [&](const Death& death) { return added.at - death.at >= m_bounds.expiry; });
    const bool known = std::ranges::any_of(suspect.deaths, [&](const Death& death) { return isSame(death, added); });
    if (known || added.at <= suspect.clearedUntil || suspect.deaths.size() >= m_bounds.maxCrashesPerRequest)
        return;
    suspect.deaths.push_back(added);
}

void Quarantine::makeRoom()
{
    if (m_suspects.size() < m_bounds.maxRequests)
        return;
    const auto fewest = std::ranges::min_element(m_suspects, {}, [](const auto& item) { return item.second.deaths.size(); });
    m_suspects.erase(fewest);
}

std::vector<Quarantine::Death> Quarantine::currentDeaths(const Suspect& suspect, Instant now) const
{
    auto deaths = suspect.deaths;
    std::erase_if(deaths, [&](const Death& death) { return now - death.at >= m_bounds.expiry; });
    return deaths;
}

std::size_t Quarantine::countDeaths(std::uint64_t fingerprint, Instant now) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_suspects.find(fingerprint);
    return it == m_suspects.end() ? 0 : currentDeaths(it->second, now).size();
}

bool Quarantine::isQuarantined(std::uint64_t fingerprint, Instant now) const
{
    return countDeaths(fingerprint, now) >= m_bounds.crashThreshold;
}

bool Quarantine::isSuspect(std::uint64_t fingerprint, Instant now) const
{
    return countDeaths(fingerprint, now) > 0;
}

bool Quarantine::mayRunAlongside(std::uint64_t fingerprint, std::span<const std::uint64_t> inProgress, Instant now) const
{
    if (!isSuspect(fingerprint, now))
        return true;
    return std::ranges::none_of(inProgress, [&](std::uint64_t other) { return isSuspect(other, now); });
}

CrashRecord Quarantine::recordOf(std::uint64_t fingerprint, const Death& death, Instant now) const
{
    return { fingerprint, death.backend, m_bounds.expiry - (now - death.at), death.id };
}

std::vector<CrashRecord> Quarantine::takeRecordsForHeartbeat(Instant now, std::size_t limit)
{
    struct Item {
        std::uint64_t fingerprint;
        Death* death;
    };
    const std::lock_guard lock(m_mutex);
    std::vector<Item> items;
    for (auto& [fingerprint, suspect] : m_suspects) {
        for (auto& death : suspect.deaths) {
            if (death.toSpread && now - death.at < m_bounds.expiry)
                items.push_back({ fingerprint, &death });
        }
    }
    const auto taken = std::min(limit, items.size());
    std::ranges::partial_sort(items, items.begin() + static_cast<std::ptrdiff_t>(taken), {}, [](const Item& item) { return item.death->spreads; });
    std::vector<CrashRecord> records;
    for (std::size_t n = 0; n < taken; ++n) {
        ++items[n].death->spreads;
        records.push_back(recordOf(items[n].fingerprint, *items[n].death, now));
    }
    return records;
}

std::vector<CrashRecord> Quarantine::newestRecords(Instant now, std::size_t limit) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<CrashRecord> records;
    for (const auto& [fingerprint, suspect] : m_suspects) {
        for (const auto& death : currentDeaths(suspect, now))
            records.push_back(recordOf(fingerprint, death, now));
    }
    const auto taken = std::min(limit, records.size());
    std::ranges::partial_sort(records, records.begin() + static_cast<std::ptrdiff_t>(taken), std::greater<> {}, &CrashRecord::remaining);
    records.resize(taken);
    return records;
}

void Quarantine::merge(std::span<const CrashRecord> records, Instant now, bool passOn)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& record : records) {
        // A remaining time outside the bound can only come from another version or a damaged record.
        if (record.remaining <= Duration::zero() || record.remaining > m_bounds.expiry)
            continue;
        add(record.fingerprint, { record.backend, now - (m_bounds.expiry - record.remaining), record.crashId, passOn, 0 });
    }
}

void Quarantine::expire(Instant now)
{
    const std::lock_guard lock(m_mutex);
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        auto& suspect = it->second;
        std::erase_if(suspect.deaths, [&](const Death& death) { return now - death.at >= m_bounds.expiry; });
        const bool forgotten = suspect.deaths.empty() && now - suspect.clearedUntil >= m_bounds.expiry;
        it = forgotten ? m_suspects.erase(it) : std::next(it);
    }
}

std::size_t Quarantine::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_suspects.size();
}

} // namespace yuccashift
