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

/** Delays and intervals of configuration distribution. */
struct ConfigDistributionTiming {
    /** How long an instance waits for a document to arrive through the tree before it pulls the document. */
    Duration pullDelay = milliseconds(200);
    /** Maximum random addition to pullDelay, so that the instances of a region do not all pull from one instance at the same time. */
    Duration pullJitter = milliseconds(200);
    /** How long an instance waits for an answer before it pulls again. */
    Duration pullRetry = milliseconds(800);
    /** How long the digests of two instances must differ before all their revisions are exchanged. */
    Duration mismatchDelay = seconds(1);
    /** Minimum time between two exchanges with a peer; doubled after each exchange that changed nothing. */
    Duration exchangeInterval = seconds(2);
    /** Upper limit of the doubled interval. */
    Duration maxExchangeInterval = seconds(30);
    /** How long after the last heartbeat that showed it a digest mismatch stays recorded. */
    Duration mismatchLifetime = seconds(10);
    /** How long heartbeats announce a document after it changed. */
    Duration recentChangeWindow = seconds(6);
    /** How long a starting instance waits for answers of its peers before it becomes ready without them. */
    Duration startupTimeout = seconds(3);
};

/** Snapshot of the peers that take part in configuration distribution. */
struct ConfigPeers {
    InstanceId self;
    /** Live instances of the local region; may include this instance. */
    std::vector<InstanceId> regionInstances;
    /** Instances from which documents may be pulled at startup, nearest first. */
    std::vector<InstanceId> startupPeers;
    /** Whether the platform's instance list has been read at least once. */
    bool instanceListKnown = false;
};

/**
 * Distributes service documents, so that every instance ends up with the newest
 * revision that any instance holds. A new revision is pushed down a tree of the
 * instances in the region, as a delta to the previous revision if the delta is
 * small enough. The tree differs for each revision. Heartbeats announce recent
 * changes and carry a digest of all revisions, by which an instance detects that
 * it missed a revision and pulls it. Not thread safe; Coordinator serializes the calls.
 */
class ConfigDistributor {
public:
    ConfigDistributor(DocumentStore&, RandomSource&, ConfigDistributionTiming = {});

    /** Offers a text from the platform to the store. If it changes the documents in force, the frames that forward it are appended. */
    Result<Acceptance> offer(std::string text, const ServiceName& publishedAs, const ConfigPeers&, Instant now, OutgoingFrames&);

    /** Answers a pull with the documents that the peer lacks. A complete pull also lists what the peer holds, so newer documents are pulled in return. */
    void onPull(const InstanceId& from, const wire::DocumentPull&, Instant now, OutgoingFrames&);
    /** Takes in documents and notices from a peer, and forwards the documents that changed. */
    void onPush(const InstanceId& from, const wire::DocumentPush&, const ConfigPeers&, Instant now, OutgoingFrames&);
    /** Schedules pulls of the announced documents and records whether the digests differ. */
    void onHeartbeat(const InstanceId& from, const wire::Heartbeat&, Instant now);
    /** Appends the pulls that are due, and updates ready(). Called periodically. */
    void tick(const ConfigPeers&, Instant now, OutgoingFrames&);

    /** Sets the digest, the readiness and at most `recentLimit` recent changes in the heartbeat. */
    void fillHeartbeat(wire::Heartbeat&, std::size_t recentLimit, Instant now) const;
    /** Number of document changes accepted so far. */
    std::uint64_t changeCount() const { return m_changes; }
    /** Whether enough peers have sent their documents, or the startup wait is over; never becomes false again. */
    bool ready() const { return m_ready; }
    /** Discards all pending pulls and recorded mismatches. Called after a pause of the process, when they are outdated. */
    void clearPendingPulls();

    /** Maximum number of children of an instance in the tree. */
    static constexpr std::size_t treeFanOut = 3;
    /** Size at which the texts of a push are split into several frames, in bytes. */
    static constexpr std::size_t maxPushBytes = 256 << 10;
    /** Maximum number of documents with a pending pull. */
    static constexpr std::size_t maxPendingPulls = 1024;

private:
    /** A document to be pulled: the newest version announced, who announced it last, and when to pull it. */
    struct PendingPull {
        DocumentVersion version;
        InstanceId from;
        Instant due;
    };

    /** A peer whose digest differs from the local one. */
    struct Mismatch {
        /** Time of the last heartbeat with a different digest. */
        Instant confirmedAt;
        Instant nextExchange;
        Duration interval;
    };

    Result<Acceptance> accept(std::string text, const ServiceName& publishedAs);
    wire::DocumentText encodeText(const ServiceName&, const StoredDocument&, std::uint64_t baseHash) const;
    std::optional<std::string> decodeText(const wire::DocumentText&) const;
    void forwardDocument(const ServiceName&, const InstanceId& source, const ConfigPeers&, Instant now, OutgoingFrames&);
    void notifyGrandchildren(std::span<const InstanceId> order, std::size_t position, const ServiceName&, const DocumentVersion&, OutgoingFrames&) const;
    void sendNotices(std::span<const InstanceId> order, std::size_t first, std::size_t count, const ServiceName&, const DocumentVersion&, OutgoingFrames&) const;
    void schedulePull(const InstanceId& from, const wire::DocumentRevision&, Instant due);
    bool isHeldOrRejected(const ServiceName&, const DocumentVersion&) const;
    void pushTexts(const InstanceId& to, std::vector<wire::DocumentText>, bool answer, OutgoingFrames&) const;
    void sendPendingPulls(Instant now, OutgoingFrames&);
    void startExchange(Instant now, OutgoingFrames&);
    void pullAtStartup(const ConfigPeers&, Instant now, OutgoingFrames&);
    bool isStartupComplete(const ConfigPeers&, Instant now) const;
    wire::DocumentPull makeCompletePull() const;
    Duration randomJitter(Duration);

    DocumentStore& m_store;
    RandomSource& m_random;
    ConfigDistributionTiming m_timing;
    std::map<ServiceName, PendingPull> m_pendingPulls;
    std::map<InstanceId, Mismatch> m_mismatches;
    /** The previous version of each document, the base of deltas. */
    std::map<ServiceName, StoredDocument> m_previousVersions;
    std::uint64_t m_changes = 0;
    /** When each document last changed on this instance. */
    std::map<ServiceName, Instant> m_changedAt;
    std::optional<Instant> m_startedAt;
    Instant m_nextStartupPull {};
    std::set<InstanceId> m_answeredPeers;
    bool m_ready = false;
};

} // namespace yuccashift
