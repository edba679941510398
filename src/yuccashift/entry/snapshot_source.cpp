#include "yuccashift/entry/snapshot_source.hpp"

#include <vector>

namespace yuccashift {

namespace {

    /** About a third of the slowest machines' links, which have 20 Mbit/s. */
    constexpr double budgetBytesPerSecond = 800e3;
    constexpr double budgetBurstBytes = 512e3;

} // namespace

const PeerState* chooseSnapshotSource(std::span<const PeerState* const> peers, const RegionName& ownRegion, std::int64_t ownRevision, RandomSource& random)
{
    std::vector<const PeerState*> near;
    std::vector<const PeerState*> far;
    for (const auto* peer : peers) {
        if (peer->storeRevision > ownRevision)
            (peer->region == ownRegion ? near : far).push_back(peer);
    }
    const auto& ahead = near.empty() ? far : near;
    if (ahead.empty())
        return nullptr;
    // The newer of two random ones: whoever is only slightly ahead may lack the change that matters.
    const auto* first = ahead[random.uniformBelow(ahead.size())];
    const auto* second = ahead[random.uniformBelow(ahead.size())];
    return second->storeRevision > first->storeRevision ? second : first;
}

SnapshotBudget::SnapshotBudget(Instant now)
    : m_bytes(budgetBytesPerSecond, budgetBurstBytes, now)
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
