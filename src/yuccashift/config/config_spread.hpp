#pragma once

#include "yuccashift/config/document_store.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/membership/outgoing.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace yuccashift {

class RandomSource;

struct SpreadTiming {
    /** Wait for the tree before a document is asked for by name. */
    Duration pullDelay = milliseconds(200);
    /** Added to it at random, so that a region does not ask one instance at once. */
    Duration pullJitter = milliseconds(200);
    /** Wait for an answer before another instance is asked. */
    Duration pullRetry = milliseconds(800);
    /** Time for which digests differ before all revisions are exchanged. */
    Duration mismatchDelay = seconds(1);
    /** Least time between two such exchanges; doubled for peers that had nothing. */
    Duration exchangeInterval = seconds(2);
    Duration longestExchangeInterval = seconds(30);
    /** Time for which a difference is believed without another heartbeat. */
    Duration mismatchLifetime = seconds(10);
    /** Time for which heartbeats name a document that changed. */
    Duration recent = seconds(6);
    /** Time after which an instance starts without an answer of its peers. */
    Duration startupWait = seconds(3);
};

/** The peers that matter to spreading at one moment. */
struct SpreadPeers {
    InstanceId self;
    /** Alive members of the own region, this instance included or not. */
    std::vector<InstanceId> region;
    /** All that may be asked when starting, nearest first. */
    std::vector<InstanceId> askable;
    /** Whether the platform's list has been read at least once. */
    bool listed = false;
};

/**
 * Brings every instance to the newest documents that any of them holds. A new
 * document goes down a tree over the region whose shape differs for each
 * revision, as a delta to whoever holds the one before; heartbeats name recent changes and carry a digest, by which whatever
 * the tree missed is asked for. Not thread safe; Coordinator guards it.
 */
class ConfigSpread {
public:
    ConfigSpread(DocumentStore&, RandomSource&, SpreadTiming = {});

    /** A text from the platform; the frames pass it on where it was accepted. */
    Result<Acceptance> offer(std::string text, const ServiceName& publishedAs, const SpreadPeers&, Instant now, OutgoingFrames&);

    void onPull(const InstanceId& from, const wire::DocumentPull&, Instant now, OutgoingFrames&);
    void onPush(const InstanceId& from, const wire::DocumentPush&, const SpreadPeers&, Instant now, OutgoingFrames&);
    void onHeartbeat(const InstanceId& from, const wire::Heartbeat&, Instant now);
    void tick(const SpreadPeers&, Instant now, OutgoingFrames&);

    /** Digest, recent changes and readiness. */
    void fill(wire::Heartbeat&, std::size_t recentLimit, Instant now) const;
    /** Counts the documents accepted so far. */
    std::uint64_t changes() const { return m_changes; }
    /** Whether the peers have been asked for their documents; stays true. */
    bool ready() const { return m_ready; }
    /** After a pause: differences are looked for afresh. */
    void doubtAll();

    static constexpr std::size_t treeFanOut = 3;
    static constexpr std::size_t maxPushBytes = 256 << 10;
    static constexpr std::size_t maxWanted = 1024;

private:
    struct Wanted {
        DocumentVersion version;
        InstanceId from;
        Instant due;
    };

    struct Mismatch {
        Instant confirmedAt;
        Instant nextExchange;
        Duration interval;
    };

    Result<Acceptance> accept(std::string text, const ServiceName& publishedAs);
    wire::DocumentText textOver(const ServiceName&, const HeldDocument&, std::uint64_t baseHash) const;
    std::optional<std::string> wholeText(const wire::DocumentText&) const;
    void passOn(const ServiceName&, const InstanceId& source, const SpreadPeers&, Instant now, OutgoingFrames&);
    void noticeGrandchildren(std::span<const InstanceId> order, std::size_t position, const ServiceName&, const DocumentVersion&, OutgoingFrames&) const;
    void notice(std::span<const InstanceId> order, std::size_t first, std::size_t count, const ServiceName&, const DocumentVersion&, OutgoingFrames&) const;
    void want(const InstanceId& from, const wire::DocumentRevision&, Instant due);
    bool holds(const ServiceName&, const DocumentVersion&) const;
    void pushTexts(const InstanceId& to, std::vector<wire::DocumentText>, bool answer, OutgoingFrames&) const;
    void pullWanted(Instant now, OutgoingFrames&);
    void pullMismatched(Instant now, OutgoingFrames&);
    void askWhenStarting(const SpreadPeers&, Instant now, OutgoingFrames&);
    bool mayStart(const SpreadPeers&, Instant now) const;
    wire::DocumentPull completePull() const;
    Duration jitter(Duration);

    DocumentStore& m_store;
    RandomSource& m_random;
    SpreadTiming m_timing;
    std::map<ServiceName, Wanted> m_wanted;
    std::map<InstanceId, Mismatch> m_mismatches;
    /** What each document in force replaced; the base of deltas. */
    std::map<ServiceName, HeldDocument> m_replaced;
    std::uint64_t m_changes = 0;
    /** When each document last changed here. */
    std::map<ServiceName, Instant> m_changedAt;
    std::optional<Instant> m_startedAt;
    Instant m_nextAsk {};
    std::set<InstanceId> m_answered;
    bool m_ready = false;
};

} // namespace yuccashift
