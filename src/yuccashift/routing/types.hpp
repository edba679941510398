#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccashift {

/** Properties of a request that routing decisions depend on. */
struct RequestTraits {
    ServiceName service;
    OrganisationName organisation;
    Priority priority = Priority::Normal;
    Instant deadline;
    bool idempotent = true;
    std::string model;
    std::string adapter;
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedOutputTokens = 0;
    /** Chained hashes of the prompt's blocks, in order. */
    std::vector<std::uint64_t> prefixBlocks;
    /** Regions that the documents allow; no decision adds to them. */
    std::vector<RegionName> allowedRegions;
    /** Backend servers already tried for this request. */
    std::vector<BackendName> triedBackends;
};

/** State of a backend server as known to this instance. */
struct BackendState {
    BackendName name;
    RegionName region;
    DatacentreName datacentre;
    BackendRole role = BackendRole::Both;
    std::uint32_t slots = 1;
    bool leaving = false;
    bool ejected = false;
    bool modelLoaded = true;
    bool adapterLoaded = true;
    /** Time at which the last load report was taken; std::nullopt if there is none. */
    std::optional<Instant> reportedAt;
    std::uint32_t reportedRunning = 0;
    std::uint32_t reportedWaiting = 0;
    /** Reported tokens that the waiting requests still need to prefill or generate. */
    std::uint64_t reportedQueuedTokens = 0;
    /** Requests and tokens that this instance has sent since the report was taken. */
    std::uint32_t ownStartedSinceReport = 0;
    std::uint64_t ownTokensSinceReport = 0;
    /** Requests of this instance that have ended since the report was taken. */
    std::uint32_t ownFinishedSinceReport = 0;
    /** Time at which this instance last sent a request to the server; the clock's epoch if never. */
    Instant lastStartedAt;
    /** Requests of this instance in progress on the server. */
    std::uint32_t ownInFlight = 0;
    double prefillTokensPerSecond = 8000;
    /** Tokens per second of a single stream. */
    double decodeTokensPerSecond = 60;
    /** Smoothed ratio of observed to expected time of this instance's requests; 1 is normal speed. */
    double slowdown = 1;
    /** Smoothed time per request; zero until enough requests have ended. */
    Duration meanServiceTime {};
    /** Number of instances that send to the server, including this one. */
    std::uint32_t senderCount = 1;
    /** Assumed requests in flight from the other senders, used to the extent that there is no recent report. */
    double otherSendersInFlight = 0;
    Duration roundTrip {};
    /** Estimated number of this request's prompt tokens that are cached on the server, scaled down for uncertainty. */
    std::uint32_t cachedTokens = 0;
    /** Start of the slow start, such as when the server returned; std::nullopt if there is none. */
    std::optional<Instant> availableSince;
};

/** State of a region according to its load summaries. */
struct RegionState {
    RegionName name;
    bool reachable = true;
    Duration roundTrip {};
    /** Expected time to wait for a slot. */
    Duration queueWait {};
    std::uint32_t slots = 0;
    std::uint32_t busySlots = 0;
    Duration summaryAge {};
    /** Requests that this instance has sent to the region since the summary. */
    std::uint32_t ownSentSinceSummary = 0;
    /** Number of instances that act on the same summary, including this one. */
    std::uint32_t observerCount = 1;
    /** Smoothed time for which a request holds a slot. */
    Duration meanServiceTime {};
    double prefillTokensPerSecond = 8000;
    /** Estimated number of this request's prompt tokens that are cached in the region. */
    std::uint32_t cachedTokens = 0;
    /** Time at which the region became reachable again, for slow start. */
    std::optional<Instant> reachableSince;
};

/** Reason why a candidate was not chosen. */
enum class RejectReason {
    None,
    Residency,
    Leaving,
    Ejected,
    AlreadyTried,
    ModelMissing,
    RoleMismatch,
    Unreachable,
    SpillForbidden,
    Hysteresis,
    NotSampled,
    HigherCost,
};

std::string_view toString(RejectReason);

/** A candidate and the result of its evaluation. */
struct Candidate {
    std::string name;
    RejectReason reason = RejectReason::None;
    /** Expected time that the policy compares, with its penalties; std::nullopt if it was not computed. */
    std::optional<Duration> expectedLatency;
};

/** Result of choosing among backend servers or regions. */
struct Decision {
    /** Index into the candidates; std::nullopt if none is eligible. */
    std::optional<std::size_t> chosen;
    /** All candidates with their reasons, in the order given. */
    std::vector<Candidate> candidates;
};

} // namespace yuccashift
