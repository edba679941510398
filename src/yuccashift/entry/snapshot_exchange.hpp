#pragma once

#include "yuccashift/entry/entry_core.hpp"
#include "yuccashift/entry/snapshot_source.hpp"
#include "yuccashift/http/inbound.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace yuccashift {

/** How a snapshot contains values above maxInlineValueBytes. */
enum class LargeValues {
    /** Not at all; the receiver requests them one by one. */
    Follow,
    /** Like any other value. Requires that no value is missing here. */
    Included,
};

/** The changes after the given revision or, if they are no longer available, all items. At a time `now`, removals tell for how long they have been known. */
fleetwire::Snapshot snapshotAfter(const ItemReplica&, std::int64_t revision, LargeValues = LargeValues::Follow, std::optional<Instant> now = {});
/** All items. */
fleetwire::Snapshot wholeSnapshot(const ItemReplica&, LargeValues = LargeValues::Follow);
/** Applies a snapshot that another instance sent, at a time `now` if removals may tell for how long they have been known; returns false if it is not newer, leaves a gap after the revision held or belongs to an older era. */
bool applySnapshot(FleetState&, const fleetwire::Snapshot&, std::optional<Instant> now = {});

/** Compressed values of items for other instances. Compresses each revision of an item once. */
class CompressedValues {
public:
    /** The item's value as a message; std::nullopt if it is not newer than the revision `after` or does not exist. */
    std::optional<std::string> encode(const ItemReplica&, const std::string& key, std::int64_t after);

private:
    struct Entry {
        StorePosition position;
        std::string message;
    };
    std::map<std::string, Entry> m_entries;
};

/** Applies a value that another instance sent; returns an error if the message is damaged. A value that is not newer has no effect. */
Result<void> applyItemValue(FleetState&, const fleetwire::ItemValue&);

/**
 * Fetches changes of the published items, and the large values among them, from
 * instances that have newer ones, and serves such requests from other instances.
 * Changes and values are fetched independently of each other.
 */
class SnapshotExchange {
public:
    /** @param readStore reads the changes from the platform's store, for when no instance sends them */
    SnapshotExchange(EntryCore&, std::function<void()> readStore);
    ~SnapshotExchange();
    SnapshotExchange(const SnapshotExchange&) = delete;
    SnapshotExchange& operator=(const SnapshotExchange&) = delete;

    /** Starts fetches if peers have had newer items for some time. */
    void tick();
    /** How long a peer has had changes or values that this instance lacks; zero if none has. */
    Duration behindFor() const;
    /** Answers the request of another instance and returns true if it asks for a snapshot or a value. */
    bool answer(InboundExchange&);
    /** Whether this path asks for a snapshot or a value if an instance sends it. */
    static bool isItemsPath(std::string_view target);

private:
    class Fetch;
    /** Fetches of one kind, of which one at a time is in progress. */
    struct Track {
        std::unique_ptr<Fetch> fetch;
        Instant behindSince {};
        Instant lastStart {};
        Duration delay {};
        int failures = 0;
    };

    bool isDue(Track&, bool sourceExists);
    void fetchAwaitedValue(std::span<const PeerState* const> peers);
    void startFetch(Track&, const PeerState& source, const std::string& target, std::function<bool(const std::string& body)> take);
    void onFetchEnded(Track&, bool succeeded);
    bool takeSnapshot(const std::string& body);
    bool takeValue(const std::string& body);
    Duration drawFetchDelay() const;
    std::optional<std::string> bodyFor(const RequestMessage&);

    EntryCore& m_core;
    std::function<void()> m_readStore;
    SnapshotBudget m_budget;
    CompressedValues m_compressedValues;
    Track m_changes;
    Track m_values;
};

} // namespace yuccashift
