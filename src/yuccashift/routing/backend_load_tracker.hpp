#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/kernel/sharded_map.hpp"
#include "yuccashift/ports/engine_control.hpp"
#include "yuccashift/routing/backend_key.hpp"
#include "yuccashift/routing/types.hpp"

#include <atomic>
#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace yuccashift {

class PrefixCacheTracker;

/** A request of this instance in progress on a backend server. */
struct InFlightRequest {
    BackendKey backend;
    std::uint64_t tokens = 0;
    Instant startedAt;
};

/** Outcome of a request of this instance on a backend server. */
enum class RequestOutcome {
    Answered,
    Refused,
    Failed,
    Cancelled,
};

/** Constant settings of a BackendLoadTracker. */
struct BackendLoadTrackerSettings {
    RegionName localRegion;
    DatacentreName datacentre;
    /** Round trip to a backend server in another data centre of the region. */
    Duration datacentreRoundTrip = milliseconds(3);
};

/**
 * Tracks the load of backend servers from their delayed reports, this instance's own
 * requests since, and whether they are leaving. Thread safe; locks are per shard.
 */
class BackendLoadTracker {
public:
    explicit BackendLoadTracker(BackendLoadTrackerSettings);

    /** Stores a report taken at takenAt on the local clock; drops it if it is not newer than the stored one. */
    void onReport(const BackendKey&, const LoadReport&, Instant takenAt);
    /** Records that a request of this many tokens is about to be sent. The result must be passed to onFinish(). */
    InFlightRequest onStart(const BackendKey&, std::uint64_t tokens, Instant now);
    void onFinish(const InFlightRequest&, RequestOutcome, Instant now);
    /** Sets or clears the leaving state, which comes from the platform's instance list or from a refusal. */
    void onLeaving(const BackendKey&, bool leaving);
    /** Drops the last report and the latency samples of a backend server that failed and begins its slow start. */
    void onLost(const BackendKey&, Instant now);
    /** Removes the servers of the document's service that it no longer lists, except those with requests in flight. */
    void retain(const Document&);

    /** Sets the number of instances in this region that send to the same backend servers, including this one. */
    void setSenderCount(std::uint32_t);

    /** State of every backend server of the document in this instance's region. Without a PrefixCacheTracker, cachedTokens is 0. */
    std::vector<BackendState> states(const Document&, const RequestTraits&, Instant now, PrefixCacheTracker* = nullptr);

private:
    struct RequestEvent {
        Instant at;
        std::uint64_t tokens = 0;
    };
    struct Entry {
        std::optional<Instant> reportedAt;
        LoadReport report;
        bool leaving = false;
        std::uint32_t inFlight = 0;
        Instant lastStartedAt;
        /** Start time and tokens of the requests in flight, oldest first. */
        std::multiset<std::pair<Instant, std::uint64_t>> running;
        std::deque<RequestEvent> starts;
        std::deque<RequestEvent> ends;
        /** Smoothed time per request and per token, in seconds. */
        double secondsPerRequest = 0;
        double secondsPerToken = 0;
        std::uint32_t samples = 0;
        std::optional<Instant> availableSince;
    };

    static void dropEventsUntil(Entry&, Instant);
    static void updateServiceTimes(Entry&, const InFlightRequest&, Instant now);
    static void applyEntry(const Entry&, BackendState&);
    void applyOverdueSlowdown(const BackendKey&, double medianSecondsPerToken, BackendState&, Instant now);
    BackendState initialState(const Document&, const BackendSpec&, const RequestTraits&) const;

    BackendLoadTrackerSettings m_settings;
    std::atomic<std::uint32_t> m_senderCount { 1 };
    ShardedMap<BackendKey, Entry> m_entries;
};

} // namespace yuccashift
