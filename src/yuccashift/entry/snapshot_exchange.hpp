#pragma once

#include "yuccashift/entry/entry_core.hpp"
#include "yuccashift/entry/snapshot_source.hpp"
#include "yuccashift/http/inbound.hpp"

#include <functional>
#include <memory>

namespace yuccashift {

/** The changes after the given revision or, if they are no longer available, all items. */
fleetwire::Snapshot snapshotAfter(const ItemReplica&, std::int64_t revision);
/** Applies a snapshot from another instance; returns false if it is not newer or leaves a gap after the revision held. */
bool applySnapshot(FleetState&, const fleetwire::Snapshot&);

/**
 * Fetches the published items from an instance that has newer ones, in case this
 * instance cannot read the store, and serves such requests from other instances.
 */
class SnapshotExchange {
public:
    /** @param readStore reads the changes from the platform's store, for when no instance sends them */
    SnapshotExchange(EntryCore&, std::function<void()> readStore);
    ~SnapshotExchange();
    SnapshotExchange(const SnapshotExchange&) = delete;
    SnapshotExchange& operator=(const SnapshotExchange&) = delete;

    /** Starts a fetch if a peer has had a newer revision for some time. */
    void tick();
    /** How long a peer has had changes that this instance lacks; zero if none has. */
    Duration behindFor() const;
    /** Answers the request and returns true if it asks for a snapshot. */
    bool answer(InboundExchange&);

private:
    class Fetch;
    void onFetchEnded(bool succeeded);
    Duration drawFetchDelay() const;

    EntryCore& m_core;
    std::function<void()> m_readStore;
    SnapshotBudget m_budget;
    std::unique_ptr<Fetch> m_fetch;
    Duration m_fetchDelay;
    Instant m_behindSince {};
    Instant m_lastFetch {};
};

} // namespace yuccashift
