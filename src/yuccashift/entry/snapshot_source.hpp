#pragma once

#include "yuccashift/fleet/item_replica.hpp"
#include "yuccashift/fleet/peer_table.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/limits/token_bucket.hpp"

#include <cstddef>
#include <span>

namespace yuccashift {

/**
 * Chooses the instance to fetch newer published items from, or nullptr if none of the peers has newer ones.
 * Prefers instances of the own region. The choice is random, so that a region that falls behind together
 * does not fetch from the same instance.
 */
const PeerState* chooseSnapshotSource(std::span<const PeerState* const> peers, const RegionName& ownRegion, const StorePosition& own, RandomSource&);

/**
 * Chooses the instance to fetch a value from that was written at the given position, or nullptr if
 * none of the peers has it. Prefers instances of the own region and is random among them.
 */
const PeerState* chooseValueSource(std::span<const PeerState* const> peers, const RegionName& ownRegion, const StorePosition& position, RandomSource&);

/** Limits the bytes of the snapshots and values that one instance sends, so that many requests at once fill neither its memory nor its link. */
class SnapshotBudget {
public:
    /** @param linkMbps bandwidth of the machine's link in Mbit/s */
    SnapshotBudget(double linkMbps, Instant now);

    /** Whether another snapshot may be sent now. */
    bool available(Instant now);
    void charge(std::size_t bytes, Instant now);

private:
    TokenBucket m_bytes;
};

} // namespace yuccashift
