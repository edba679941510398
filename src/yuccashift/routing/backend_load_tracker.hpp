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

/** One request of this instance on a backend server. */
struct InFlightRequest {
    BackendKey backend;
    std::uint64_t tokens = 0;
    Instant startedAt;
};

/** How a request of this instance on a backend server ended. */
enum class RequestOutcome {
    Answered,
    Refused,
    Failed,
    Cancelled,
};

/** Settings of a BackendLoadTracker that do not change. */
struct BackendLoadTrackerSettings {
    RegionName localRegion;
    DatacentreName datacentre;
    /** Round trip to a backend server in another data centre of the region. */
    Duration datacentreRoundTrip = milliseconds(3);
};

/**
 * What this instance believes about the load of backend servers: lagging
 * reports, its own work since, marks of leaving. Thread safe, in shards.
 */
class BackendLoadTracker {
public:
    explicit BackendLoadTracker(BackendLoadTrackerSettings);

    /** A report taken at the instant, on the local clock; older ones are dropped. */
    void onReport(const BackendKey&, const LoadReport&, Instant takenAt);
    /** A request that should generate so many tokens is about to be sent; pass the result to onFinish(). */
    InFlightRequest onStart(const BackendKey&, std::uint64_t tokens, Instant now);
    void onFinish(const InFlightRequest&, RequestOutcome, Instant now);
    /** Marks or clears leaving, from the platform's list or from a refusal. */
    void onLeaving(const BackendKey&, bool leaving);
    /** The backend server died: its reports no longer count and it starts slowly. */
    void onLost(const BackendKey&, Instant now);
    /** Drops what is held about servers that the document no longer names. */
    void retain(const Document&);

    /** Instances of this region that send to the same backend servers, this one included. */
    void setSenderCount(std::uint32_t);

    /** Every backend server of the document in this instance's region. */
    std::vector<BackendState> states(const Document&, const RequestTraits&, Instant now, PrefixCacheTracker* = nullptr);

private:
    struct Ended {
        Instant at;
        std::uint64_t tokens = 0;
    };
    struct Entry {
        std::optional<Instant> reportedAt;
        LoadReport report;
        bool leaving = false;
        std::uint32_t inFlight = 0;
        Instant lastStartedAt;
        /** Start and tokens of the requests in flight, oldest first. */
        std::multiset<std::pair<Instant, std::uint64_t>> running;
        std::deque<Ended> starts;
        std::deque<Ended> ends;
        /** Smoothed seconds per request and per token. */
        double secondsPerRequest = 0;
        double secondsPerToken = 0;
        std::uint32_t samples = 0;
        std::optional<Instant> availableSince;
    };

    static void forgetBefore(Entry&, Instant);
    static void learn(Entry&, const InFlightRequest&, Instant now);
    static void fillFrom(const Entry&, BackendState&);
    void noticeOverdue(const BackendKey&, double typical, BackendState&, Instant now);
    BackendState initialState(const Document&, const BackendSpec&, const RequestTraits&) const;

    BackendLoadTrackerSettings m_settings;
    std::atomic<std::uint32_t> m_senders { 1 };
    ShardedMap<BackendKey, Entry> m_entries;
};

} // namespace yuccashift
