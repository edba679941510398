#pragma once

#include "yuccashift/config/document_store.hpp"
#include "yuccashift/config/watcher_selection.hpp"
#include "yuccashift/ports/listing.hpp"

#include <optional>
#include <set>

namespace yuccashift {

class RandomSource;

/** Next action of a SourceReader. */
enum class SourceAction {
    /** Nothing to do; call next() again after `wait`. */
    Wait,
    /** Read the listing. */
    List,
    /** Watch the listing for a change after `index`, for at most `wait`. */
    Watch,
    /** Read the text of `service`. */
    Read,
};

/** The next call to the configuration service. */
struct SourceStep {
    SourceAction action = SourceAction::Wait;
    Duration wait {};
    std::uint64_t index = 0;
    ServiceName service;
};

/** Delays and intervals of a SourceReader. */
struct SourceTiming {
    PollTiming poll;
    /** Retry delays of a watcher after a failure. They are shorter than the poll interval, because other instances rely on the watcher. */
    PollTiming watcherRetry { seconds(1), seconds(30), 0.5 };
    /** Maximum duration of one watch call. */
    Duration watchWait = seconds(30);
    /** How long an instance without a watch waits for its peers to send a changed document before it reads the document itself. */
    Duration peerGrace = seconds(3);
    /** Delay before the next call after a text that is older than its listed revision. */
    Duration staleRetry = seconds(1);
    /** Maximum `wait` of a Wait step. */
    Duration maxWait = seconds(1);
};

/**
 * Decides when an instance lists, watches and reads documents of the
 * configuration service. The selected watchers hold a watch, the other instances
 * poll at long intervals, and each instance limits its rate to its share of the
 * allowed reads. At most one call is in progress at a time. Not thread safe.
 */
class SourceReader {
public:
    SourceReader(InstanceId self, const DocumentStore&, RandomSource&, Instant now, SourceTiming = {});

    /** Sets whether this instance is a watcher, and the number of instances that share the read rate. */
    void setRole(bool watcher, std::size_t instanceCount);
    /** Returns the next call to make. The caller reports the result of each List, Watch or Read with exactly one of the functions below. */
    SourceStep next(Instant now);

    void onListing(const ConfigListing&, Instant now);
    /** Reports that a text was read, with the result of offering it to the store. A service without a text is reported with onFailure(). */
    void onText(const ServiceName&, const Result<Acceptance>&, Instant now);
    /** Reports that a call failed. `service` is empty unless the call was a Read. */
    void onFailure(const ServiceName& service, Instant now);

    /** Whether all listed documents have been read or received from peers at least once; never becomes false again. */
    bool complete() const { return m_complete; }
    /** Returns the services whose listed revision is older than the revision in force, because the source is stale. */
    std::vector<ServiceName> staleServices() const;

private:
    std::optional<ServiceName> nextMissing(Instant now);
    bool shouldWaitForPeers(Instant now) const;
    bool isMissing(const PublishedRevision&, const DocumentSet&) const;
    SourceStep applyReadRate(SourceStep, Instant now);
    Duration remainingTime(Instant, Instant now) const;

    InstanceId m_self;
    const DocumentStore& m_store;
    RandomSource& m_random;
    SourceTiming m_timing;
    ReadPacer m_pacer;
    bool m_watcher = false;
    bool m_complete = false;
    std::uint32_t m_failures = 0;
    std::optional<ConfigListing> m_listing;
    Instant m_listedAt {};
    /** Time of the next listing or watch. */
    Instant m_nextListing;
    /** No call is made before this time; set after a failed call or an outdated text. */
    Instant m_backOffUntil {};
    /** The listed revision at the last read of each service, so that a rejected text is not read repeatedly. */
    std::map<ServiceName, Revision> m_readRevisions;
    /** Services whose read failed since the last listing. They are skipped until the next listing, so that they do not hold up the others. */
    std::set<ServiceName> m_failedReads;
};

} // namespace yuccashift
