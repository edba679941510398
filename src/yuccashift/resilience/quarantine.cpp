#include "yuccashift/resilience/quarantine.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/random.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    constexpr std::size_t keptDeaths = 4;

} // namespace

Quarantine::Quarantine(QuarantineBounds bounds)
    : m_bounds(bounds)
    , m_salt(makeSystemRandom()->next())
{
}

void Quarantine::onBackendDeath(std::uint64_t backend, std::span<const std::uint64_t> inProgress, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const Death death { backend, now, mix64(m_salt ^ ++m_deaths), 0 };
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

void Quarantine::add(std::uint64_t fingerprint, const Death& added)
{
    if (!m_suspects.contains(fingerprint))
        makeRoom();
    auto& suspect = m_suspects[fingerprint];
    // Deaths that no longer count must not take the room of new ones between two sweeps.
    std::erase_if(suspect.deaths, [&](const Death& death) { return added.at - death.at >= m_bounds.expiry; });
    // One death is reported by every instance that had the request there, at slightly
    // different times. A report that was held up on its way seems younger than it is,
    // so that its time alone does not tell it from another death.
    const auto isSame = [&](const Death& death) {
        const bool near = std::chrono::abs(death.at - added.at) < m_bounds.sameDeath;
        return death.backend == added.backend && (near || (added.id != 0 && death.id == added.id));
    };
    if (added.at <= suspect.clearedUntil || std::ranges::any_of(suspect.deaths, isSame) || suspect.deaths.size() >= keptDeaths)
        return;
    suspect.deaths.push_back(added);
}

void Quarantine::makeRoom()
{
    if (m_suspects.size() < m_bounds.requests)
        return;
    const auto fewest = std::ranges::min_element(m_suspects, {}, [](const auto& item) { return item.second.deaths.size(); });
    m_suspects.erase(fewest);
}

std::size_t Quarantine::countDeaths(std::uint64_t fingerprint, Instant now) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end())
        return 0;
    const auto counts = [&](const Death& death) { return now - death.at < m_bounds.expiry; };
    return static_cast<std::size_t>(std::ranges::count_if(it->second.deaths, counts));
}

bool Quarantine::isQuarantined(std::uint64_t fingerprint, Instant now) const
{
    return countDeaths(fingerprint, now) >= m_bounds.deaths;
}

bool Quarantine::isSuspect(std::uint64_t fingerprint, Instant now) const
{
    return countDeaths(fingerprint, now) > 0;
}

bool Quarantine::mayJoin(std::uint64_t fingerprint, std::span<const std::uint64_t> inProgress, Instant now) const
{
    if (!isSuspect(fingerprint, now))
        return true;
    return std::ranges::none_of(inProgress, [&](std::uint64_t other) { return isSuspect(other, now); });
}

std::vector<CrashRecord> Quarantine::takeForSpread(Instant now, std::size_t limit)
{
    struct Item {
        std::uint64_t fingerprint;
        Death* death;
    };
    const std::lock_guard lock(m_mutex);
    std::vector<Item> items;
    for (auto& [fingerprint, suspect] : m_suspects) {
        for (auto& death : suspect.deaths) {
            if (now - death.at < m_bounds.expiry)
                items.push_back({ fingerprint, &death });
        }
    }
    const auto taken = std::min({ limit, m_bounds.spreadRecords, items.size() });
    std::ranges::partial_sort(items, items.begin() + static_cast<std::ptrdiff_t>(taken), {}, [](const Item& item) { return item.death->spreads; });
    std::vector<CrashRecord> records;
    for (std::size_t n = 0; n < taken; ++n) {
        auto& death = *items[n].death;
        ++death.spreads;
        records.push_back({ items[n].fingerprint, death.backend, m_bounds.expiry - (now - death.at), death.id });
    }
    return records;
}

void Quarantine::merge(std::span<const CrashRecord> records, Instant now)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& record : records) {
        // A remaining time outside the bound can only come from another version or a damaged record.
        if (record.remaining <= Duration::zero() || record.remaining > m_bounds.expiry)
            continue;
        add(record.fingerprint, { record.backend, now - (m_bounds.expiry - record.remaining), record.death, 0 });
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
