#include "yuccashift/membership/summary_relay.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    constexpr Duration summaryLifetime = seconds(60);
    // A summary that arrives on two paths has ages that differ by less than this. Without the margin it would count as
    // two summaries.
    constexpr Duration duplicateMargin = milliseconds(500);

    std::int32_t ageOf(Instant createdAt, Instant now)
    {
        return static_cast<std::int32_t>(std::clamp<std::int64_t>(toMilliseconds(now - createdAt), 0, toMilliseconds(summaryLifetime)));
    }

    bool isTooOld(std::int32_t ageMs)
    {
        return ageMs < 0 || milliseconds(ageMs) >= summaryLifetime;
    }

} // namespace

std::vector<wire::RegionSummary> SummaryRelay::acceptSummaries(std::span<const wire::RegionSummary> summaries, bool direct, Instant now)
{
    std::vector<wire::RegionSummary> newer;
    for (const auto& summary : summaries) {
        if (isTooOld(summary.ageMs))
            continue;
        const auto createdAt = now - milliseconds(summary.ageMs);
        auto& heardAt = m_heardAt[summary.region];
        heardAt = std::max(heardAt, createdAt);
        const auto key = std::pair { summary.region, summary.serviceName };
        const auto it = m_summaries.find(key);
        if (it == m_summaries.end() ? m_summaries.size() >= maxEntries : createdAt < it->second.createdAt + duplicateMargin)
            continue;
        m_summaries.insert_or_assign(key, Entry<wire::RegionSummary> { summary, createdAt, direct, 0 });
        newer.push_back(summary);
    }
    return newer;
}

bool SummaryRelay::acceptDemand(const wire::RegionDemand& demand, bool direct, Instant now)
{
    if (isTooOld(demand.ageMs))
        return false;
    // Demands relayed by a member arrive in parts and are not relayed again.
    if (!direct)
        return true;
    const auto createdAt = now - milliseconds(demand.ageMs);
    const auto it = m_demands.find(demand.region);
    if (it == m_demands.end() ? m_demands.size() >= maxEntries : createdAt < it->second.createdAt + duplicateMargin)
        return false;
    m_demands.insert_or_assign(demand.region, Entry<wire::RegionDemand> { demand, createdAt, true, 0 });
    return true;
}

std::vector<wire::RegionSummary> SummaryRelay::takeSummaries(std::size_t limit, Instant now)
{
    std::vector<wire::RegionSummary> taken;
    // Continues in the map where the last call ended, so that every region gets its turn.
    auto it = m_summaries.upper_bound(m_lastSummary);
    for (std::size_t n = 0; n < m_summaries.size() && taken.size() < limit; ++n, ++it) {
        if (it == m_summaries.end())
            it = m_summaries.begin();
        auto& entry = it->second;
        if (!entry.pending)
            continue;
        entry.pending = false;
        m_lastSummary = it->first;
        taken.push_back(entry.message);
        taken.back().ageMs = ageOf(entry.createdAt, now);
    }
    return taken;
}

std::vector<wire::RegionDemand> SummaryRelay::takeDemands(std::size_t limit, Instant now)
{
    auto it = m_demands.upper_bound(m_lastDemand);
    for (std::size_t n = 0; n < m_demands.size() && limit > 0; ++n, ++it) {
        if (it == m_demands.end())
            it = m_demands.begin();
        if (!it->second.pending)
            continue;
        m_lastDemand = it->first;
        return { takeNextPart(it->second, limit, now) };
    }
    return {};
}

wire::RegionDemand SummaryRelay::takeNextPart(Entry<wire::RegionDemand>& entry, std::size_t limit, Instant now)
{
    const auto& all = entry.message.demands;
    const auto begin = std::min(entry.relayedCount, all.size());
    const auto end = std::min(begin + limit, all.size());
    wire::RegionDemand part;
    part.region = entry.message.region;
    part.ageMs = ageOf(entry.createdAt, now);
    part.demands.assign(all.begin() + static_cast<std::ptrdiff_t>(begin), all.begin() + static_cast<std::ptrdiff_t>(end));
    entry.relayedCount = end;
    entry.pending = end < all.size();
    return part;
}

std::optional<Instant> SummaryRelay::heardAt(const RegionName& region) const
{
    const auto it = m_heardAt.find(region);
    return it == m_heardAt.end() ? std::nullopt : std::optional(it->second);
}

void SummaryRelay::expire(Instant now)
{
    const auto isOld = [&](const auto& item) { return now - item.second.createdAt >= summaryLifetime; };
    std::erase_if(m_summaries, isOld);
    std::erase_if(m_demands, isOld);
}

} // namespace yuccashift
