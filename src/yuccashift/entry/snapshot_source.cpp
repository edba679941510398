#include "yuccashift/entry/snapshot_source.hpp"

#include <vector>

namespace yuccashift {

namespace {

    /** The rest of the link is for callers' requests and for what this instance fetches itself. */
    constexpr double linkShare = 1.0 / 3;
    /** Era of a store that has never come back from an older copy. */
    constexpr std::int64_t firstEra = 1;
    constexpr double bytesPerMegabit = 1e6 / 8;
    /** Time in which the budget for a burst accumulates. */
    constexpr double burstSeconds = 0.6;

    double budgetBytesPerSecond(double linkMbps)
    {
        return linkShare * linkMbps * bytesPerMegabit;
    }

    /** A revision of the peer. Peers of an earlier version name no era; they count as being in the own one only while it is the first. */
    StorePosition positionOf(const PeerState& peer, std::int64_t revision, const StorePosition& own)
    {
        const bool namesNone = peer.storeEra == 0 && own.era <= firstEra;
        return { namesNone ? own.era : peer.storeEra, revision };
    }

} // namespace

const PeerState* chooseSnapshotSource(std::span<const PeerState* const> peers, const RegionName& ownRegion, const StorePosition& own, RandomSource& random)
{
    std::vector<const PeerState*> near;
    std::vector<const PeerState*> far;
    for (const auto* peer : peers) {
        if (positionOf(*peer, peer->knownRevision, own) > own)
            (peer->region == ownRegion ? near : far).push_back(peer);
    }
    const auto& ahead = near.empty() ? far : near;
    if (ahead.empty())
        return nullptr;
    // The newer of two random ones: whoever is only slightly ahead may lack the change that matters.
    const auto* first = ahead[random.uniformBelow(ahead.size())];
    const auto* second = ahead[random.uniformBelow(ahead.size())];
    return positionOf(*second, second->knownRevision, own) > positionOf(*first, first->knownRevision, own) ? second : first;
}

const PeerState* chooseValueSource(std::span<const PeerState* const> peers, const RegionName& ownRegion, const StorePosition& position, RandomSource& random)
{
    std::vector<const PeerState*> near;
    std::vector<const PeerState*> far;
    for (const auto* peer : peers) {
        if (peer->sendsValues && peer->storeEra == position.era && peer->storeRevision >= position.revision)
            (peer->region == ownRegion ? near : far).push_back(peer);
    }
    const auto& holders = near.empty() ? far : near;
    return holders.empty() ? nullptr : holders[random.uniformBelow(holders.size())];
}

SnapshotBudget::SnapshotBudget(double linkMbps, Instant now)
    : m_bytes(budgetBytesPerSecond(linkMbps), budgetBytesPerSecond(linkMbps) * burstSeconds, now)
{
}

bool SnapshotBudget::available(Instant now)
{
    return m_bytes.timeUntilAvailable(1, now) == Duration::zero();
}

void SnapshotBudget::charge(std::size_t bytes, Instant now)
{
    m_bytes.charge(static_cast<double>(bytes), now);
}

} // namespace yuccashift
