#include "yuccashift/membership/summary_relay.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    constexpr Duration summaryLifetime = seconds(60);
    // Two ways to one place differ by less; without a margin one summary would count as two.
    constexpr Duration sameSummary = milliseconds(500);

    std::int32_t ageOf(Instant takenAt, Instant now)
    {
        return static_cast<std::int32_t>(std::clamp<std::int64_t>(toMilliseconds(now - takenAt), 0, toMilliseconds(summaryLifetime)));
    }

    bool isTooOld(std::int32_t ageMs)
    {
        return ageMs < 0 || milliseconds(ageMs) >= summaryLifetime;
    }

} // namespace

std::vector<wire::RegionSummary> SummaryRelay::take(std::span<const wire::RegionSummary> summaries, bool direct, Instant now)
{
    std::vector<wire::RegionSummary> news;
    for (const auto& summary : summaries) {
        if (isTooOld(summary.ageMs))
            continue;
        const auto takenAt = now - milliseconds(summary.ageMs);
        auto& heardAt = m_heardAt[summary.region];
        heardAt = std::max(heardAt, takenAt);
        const auto key = std::pair { summary.region, summary.serviceName };
        const auto it = m_summaries.find(key);
        if (it == m_summaries.end() ? m_summaries.size() >= maxEntries : takenAt < it->second.takenAt + sameSummary)
            continue;
        m_summaries.insert_or_assign(key, Entry<wire::RegionSummary> { summary, takenAt, direct, 0 });
        news.push_back(summary);
    }
    return news;
}

bool SummaryRelay::take(const wire::RegionDemand& demand, bool direct, Instant now)
{
    if (isTooOld(demand.ageMs))
        return false;
    // What a member passes on comes in parts, and is not passed on again.
    if (!direct)
        return true;
    const auto takenAt = now - milliseconds(demand.ageMs);
    const auto it = m_demands.find(demand.region);
    if (it == m_demands.end() ? m_demands.size() >= maxEntries : takenAt < it->second.takenAt + sameSummary)
        return false;
    m_demands.insert_or_assign(demand.region, Entry<wire::RegionDemand> { demand, takenAt, true, 0 });
    return true;
}

std::vector<wire::RegionSummary> SummaryRelay::takeSummaries(std::size_t limit, Instant now)
{
    std::vector<wire::RegionSummary> taken;
    // Goes round the map from where the last call ended, so that no region waits for ever.
    auto it = m_summaries.upper_bound(m_lastSummary);
    for (std::size_t n = 0; n < m_summaries.size() && taken.size() < limit; ++n, ++it) {
        if (it == m_summaries.end())
            it = m_summaries.begin();
        auto& entry = it->second;
        if (!entry.toPassOn)
            continue;
        entry.toPassOn = false;
        m_lastSummary = it->first;
        taken.push_back(entry.message);
        taken.back().ageMs = ageOf(entry.takenAt, now);
    }
    return taken;
}

std::vector<wire::RegionDemand> SummaryRelay::takeDemands(std::size_t limit, Instant now)
{
    auto it = m_demands.upper_bound(m_lastDemand);
    for (std::size_t n = 0; n < m_demands.size() && limit > 0; ++n, ++it) {
        if (it == m_demands.end())
            it = m_demands.begin();
        if (!it->second.toPassOn)
            continue;
        m_lastDemand = it->first;
        return { takePart(it->second, limit, now) };
    }
    return {};
}

wire::RegionDemand SummaryRelay::takePart(Entry<wire::RegionDemand>& entry, std::size_t limit, Instant now)
{
    const auto& all = entry.message.demands;
    const auto begin = std::min(entry.passedOn, all.size());
    const auto end = std::min(begin + limit, all.size());
    wire::RegionDemand part;
    part.region = entry.message.region;
    part.ageMs = ageOf(entry.takenAt, now);
    part.demands.assign(all.begin() + static_cast<std::ptrdiff_t>(begin), all.begin() + static_cast<std::ptrdiff_t>(end));
    entry.passedOn = end;
    entry.toPassOn = end < all.size();
    return part;
}

std::optional<Instant> SummaryRelay::heardAt(const RegionName& region) const
{
    const auto it = m_heardAt.find(region);
    return it == m_heardAt.end() ? std::nullopt : std::optional(it->second);
}

void SummaryRelay::expire(Instant now)
{
    const auto isOld = [&](const auto& item) { return now - item.second.takenAt >= summaryLifetime; };
    std::erase_if(m_summaries, isOld);
    std::erase_if(m_demands, isOld);
}

} // namespace yuccashift
