#pragma once

#include "yuccashift/entry/entry_core.hpp"
#include "yuccashift/http/inbound.hpp"

#include <memory>

namespace yuccashift {

/** The items, or what changed after a revision where that is remembered. */
fleetwire::Snapshot snapshotAfter(const ItemReplica&, std::int64_t revision);
/** Takes a snapshot of another instance; false where it does not fit what is held. */
bool applySnapshot(FleetState&, const fleetwire::Snapshot&);

/**
 * Fetches the published items from an instance that has newer ones, for when
 * the store cannot be read from here; and answers such questions.
 */
class SnapshotExchange {
public:
    explicit SnapshotExchange(EntryCore&);
    ~SnapshotExchange();
    SnapshotExchange(const SnapshotExchange&) = delete;
    SnapshotExchange& operator=(const SnapshotExchange&) = delete;

    /** Asks a peer where one has been ahead for a while. */
    void tick();
    /** Answers the request if it asks for a snapshot. */
    bool answer(InboundExchange&);

private:
    class Fetch;
    void ended();
    Duration drawPatience() const;

    EntryCore& m_core;
    std::unique_ptr<Fetch> m_fetch;
    Duration m_patience;
    Instant m_behindSince {};
    Instant m_lastFetch {};
};

} // namespace yuccashift
