#pragma once

#include "yuccashift/config/document_store.hpp"
#include "yuccashift/config/watcher_choice.hpp"
#include "yuccashift/ports/listing.hpp"

#include <optional>
#include <set>

namespace yuccashift {

class RandomSource;

enum class SourceAction {
    /** Nothing to do; ask again after `wait`. */
    Wait,
    List,
    /** Wait for a change after `index` for at most `wait`. */
    Watch,
    /** Read the text of `service`. */
    Read,
};

/** What to ask the configuration service for next. */
struct SourceStep {
    SourceAction action = SourceAction::Wait;
    Duration wait {};
    std::uint64_t index = 0;
    ServiceName service;
};

struct SourceTiming {
    PollTiming poll;
    /** A watcher that failed tries again sooner, since others rely on it. */
    PollTiming watcherRetry { seconds(1), seconds(30), 0.5 };
    /** How long one watch waits. */
    Duration watchWait = seconds(30);
    /** Time that peers have to bring a document before an instance without a watch reads it. */
    Duration peerGrace = seconds(3);
    /** Wait after a text that is older than its listing said. */
    Duration staleRetry = seconds(1);
    /** Longest time between two questions to next(). */
    Duration longestWait = seconds(1);
};

/**
 * Decides when an instance lists, watches and reads the configuration
 * service: the chosen watchers hold a watch, the others poll rarely, and each
 * stays inside its share of the reads. One call is in progress at a time.
 * Not thread safe.
 */
class SourceReader {
public:
    SourceReader(InstanceId self, const DocumentStore&, RandomSource&, Instant now, SourceTiming = {});

    void setRole(bool watcher, std::size_t fleet);
    /** The next call to make. Exactly one of the answers below follows each List, Watch or Read. */
    SourceStep next(Instant now);

    void onListing(const ConfigListing&, Instant now);
    /** The text was read, and the coordinator made this of it; a service without a text counts as a failure. */
    void onText(const ServiceName&, const Result<Acceptance>&, Instant now);
    /** The call failed; `service` is empty unless it was a read. */
    void onFailure(const ServiceName& service, Instant now);

    /** Whether everything listed was read or brought by peers at least once. */
    bool complete() const { return m_complete; }
    /** Services whose published revision is older than the one in force: the source is stale. */
    std::vector<ServiceName> stale() const;

private:
    std::optional<ServiceName> nextMissing(Instant now);
    bool leaveToPeers(Instant now) const;
    bool isMissing(const PublishedRevision&, const DocumentSet&) const;
    SourceStep paced(SourceStep, Instant now);
    Duration until(Instant, Instant now) const;

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
    /** When the next listing or watch is due. */
    Instant m_nextListing;
    /** No call at all before this moment, after failures. */
    Instant m_heldOffUntil {};
    /** Revision of each service that was read last, so that a rejected text is not read again and again. */
    std::map<ServiceName, Revision> m_read;
    /** Services that could not be read since the last listing; the others must not wait for them. */
    std::set<ServiceName> m_unreadable;
};

} // namespace yuccashift
