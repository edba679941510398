#pragma once

#include "yuccashift/dispatch/prefix_cache_estimator.hpp"
#include "yuccashift/dispatch/server_constraints.hpp"
#include "yuccashift/dispatch/server_observations.hpp"
#include "yuccashift/dispatch/work.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace yuccashift {

/** Load that one instance, or several together, have in progress at one backend server. */
struct ServerLoadSum {
    std::int32_t requests = 0;
    /** Prompt tokens of requests without a first byte, by priority. */
    std::array<std::int32_t, priorityLevels> waitingPromptTokens {};
    /** Tokens that the requests occupy in the engine's memory. */
    std::int32_t memoryTokens = 0;

    ServerLoadSum& operator+=(const ServerLoadSum&);
    ServerLoadSum& operator-=(const ServerLoadSum&);
};

/** The prompt that an engine is prefilling; the engine finishes it even if more urgent requests arrive. */
struct ActivePrefill {
    /** Tokens left when it was observed. */
    std::int32_t tokens = 0;
    std::size_t priority = 0;
    Instant observedAt {};

    /** Estimated tokens left at a later time. */
    std::int32_t remaining(Instant now) const;
};

/** How a request at a server ended, classified by what that says about the server. */
enum class ServerOutcome {
    Succeeded,
    /** The server answered with an error. */
    Failed,
    /** The connection broke or could not be established. */
    Lost,
    /** The server refused the request without running it. */
    Rejected,
    /** The caller disconnected or the deadline passed; says nothing about the server. */
    Abandoned,
};

/** An owner's report is used for this long; heartbeats repeat it every second or more often. */
constexpr Duration ownerReportLifetime = seconds(3);

/** Health of a server as its owner observes it. Other instances send it few requests themselves. */
struct OwnerReport {
    /** Observed slowness by priority; 0 where the owner has no samples. */
    std::array<double, priorityLevels> slowness {};
    bool suspect = false;
    /** Share of recent requests that failed; 0 while the owner has seen too few. */
    double failureShare = 0.0;
    Instant receivedAt {};
};

/** Observed load and health of one server, in addition to its registered entry. */
struct ServerStatus {
    ServerLoadSum own;
    ServerLoadSum peers;
    /** Ratio of the observed to the unscaled predicted time to first byte, by priority, and its number of samples. */
    std::array<double, priorityLevels> slowness { 1.0, 1.0, 1.0, 1.0 };
    std::array<std::uint32_t, priorityLevels> slownessSamples {};
    /** Share of recent requests that failed or were lost, and the number of requests counted. */
    double failureShare = 0.0;
    std::uint32_t outcomeSamples = 0;
    /** Connections fail; the server gets no requests until a probe succeeds or its entry is added again. */
    bool suspect = false;
    Instant suspectSince {};
    /** The server refused a request as full; it gets no requests until then. */
    Instant fullUntil {};
    /** Requests in progress with which the server refused another one, and until when that is taken for its limit. */
    std::int32_t requestLimit = 0;
    Instant requestLimitUntil {};
    /** When this instance last sent a request while the server was cold. */
    Instant lastColdSend {};
    /** When this instance last started a health probe. */
    Instant lastProbe {};
    /** When the oldest request without a first byte was sent; std::nullopt if none is pending. */
    std::optional<Instant> waitingSince;
    /** When the server last sent a first byte. */
    Instant lastFirstByte {};
    /** Running mean of the time between two chunks of a stream, and when the last chunk arrived. */
    Duration streamChunkGap {};
    Instant lastChunkAt {};

    /** The newest report of the server's owner, if that is another instance. */
    std::optional<OwnerReport> ownerReport;

    /** Load of this instance and its peers together. */
    ServerLoadSum total() const;
    /** Whether the server has as many requests in progress as it took when it last refused one. */
    bool atRequestLimit(Instant now) const { return now < requestLimitUntil && total().requests >= requestLimit; }
};

/** A request that is about to be sent to a server. */
struct OutgoingRequest {
    const WorkSize& work;
    /** Prompt tokens that the server has not cached and has to prefill. */
    std::uint32_t uncachedTokens = 0;
    /** Predicted time to first byte, and the slowness factor that it includes. */
    Duration predicted {};
    double slowness = 1.0;
    bool engine = false;
    /** Tokens that fit into the engine's memory. */
    std::uint64_t memoryTokens = 0;
    /** Maximum number of requests that the server processes concurrently. */
    std::uint32_t slots = 1;
};

/** Accounting of one request at one server, from sending to completion. */
struct RequestTicket {
    /** 0 once the request has ended. */
    std::uint64_t server = 0;
    ServerLoadSum load;
    std::size_t priority = 0;
    std::uint32_t slots = 1;
    Instant sentAt {};
    /** Predicted time to first byte divided by the slowness factor that it included. */
    Duration unscaledPrediction {};
    bool engine = false;
    bool firstByteSeen = false;
    Instant lastChunkAt {};
};

/**
 * Tracks load and health of the backend servers of a region. Requests of this
 * instance count at once, those of other instances with their heartbeats.
 */
class ServerTracker {
public:
    explicit ServerTracker(const Clock&);

    /** Sets how many parts of prompts are kept of all servers together. */
    void setMaxPrefixParts(std::size_t count) { m_maxPrefixParts = count; }
    /** What the servers asked of the instances that send to them. */
    ServerConstraints& constraints() { return m_constraints; }
    const ServerConstraints& constraints() const { return m_constraints; }
    /** What the instances of the region observe of its servers together. */
    ServerObservations& observations() { return m_observations; }
    const ServerObservations& observations() const { return m_observations; }
    /** Status of a server; default values if it is unknown. */
    const ServerStatus& statusOf(std::uint64_t server) const;
    /** Prefixes that the server is expected to have cached; nullptr if it was sent no prompt with parts. */
    const PrefixCacheEstimator* prefixCacheOf(std::uint64_t server) const;

    /** Records that a request is sent, and returns its accounting. */
    RequestTicket onSend(std::uint64_t server, const OutgoingRequest&);
    /**
     * Expected slowness of a server. Without samples of its own, this instance takes what the
     * server's owner reports. Otherwise it blends its observed slowness with that of all servers, which
     * dominates while it has few samples: with many servers an instance uses each of them rarely.
     */
    double expectedSlowness(std::uint64_t server, bool engine, std::size_t priority) const;
    /** The same from what all instances of the region observe together; for regions where many instances share the servers. */
    double sharedSlowness(std::uint64_t server, bool engine, std::size_t priority) const;
    /** Records the first byte of a stream's body, or of an answer; later calls have no effect. */
    void onFirstByte(RequestTicket&);
    /** Records a chunk of a stream; to be called for the first chunk as well. */
    void onStreamChunk(RequestTicket&);
    /** Removes the request from the load and records its outcome; later calls have no effect. */
    void onComplete(RequestTicket&, ServerOutcome);

    /** Clears the suspicion and the failure record once a probe or a new entry shows that the server is usable. */
    void clearSuspect(std::uint64_t server);
    void markSuspect(std::uint64_t server);
    void recordProbe(std::uint64_t server);
    void recordColdSend(std::uint64_t server);
    /** Marks the server as full for the given time from now on. */
    void markFull(std::uint64_t server, Duration);
    /** Replaces the load that another instance has in progress; an empty map removes the instance. */
    void setPeerLoads(const InstanceId&, std::map<std::uint64_t, ServerLoadSum>);
    /** Drops the records of a removed server, once no own request is in progress there. */
    void remove(std::uint64_t server);

    /** Own requests in progress, for heartbeats; also lists servers without requests that are suspect or fail. */
    std::vector<std::pair<std::uint64_t, ServerLoadSum>> ownLoads() const;
    /** What this instance has observed of a server that it owns, for heartbeats. */
    OwnerReport observedHealth(std::uint64_t server) const;
    /** Replaces the reports of another instance about the servers that it owns. */
    void setOwnerReports(const InstanceId&, const std::map<std::uint64_t, OwnerReport>&);
    /** The oldest own prompt without a first byte, with the tokens left of it now; zero tokens if there is none. */
    ActivePrefill ownPrefill(std::uint64_t server) const;
    /** Tokens left of a less urgent prompt in prefill that delays a request of this priority; 0 if there is none. */
    std::int32_t prefillTokensAhead(std::uint64_t server, std::size_t priority) const;
    /** Replaces the prompt that another instance reports in prefill; zero tokens remove it. */
    void setPeerPrefill(const InstanceId&, std::uint64_t server, ActivePrefill);

private:
    struct Record {
        ServerStatus status;
        std::optional<PrefixCacheEstimator> prefixes;
        /** Prompts of requests without a first byte, by the time of sending. */
        std::multimap<Instant, ActivePrefill> pending;
        std::map<InstanceId, ActivePrefill> peerPrefills;
        /** Dropped when the last own request ends. */
        bool removed = false;
    };
    static void removePending(Record&, const RequestTicket&);

    const Clock& m_clock;
    ServerConstraints m_constraints;
    ServerObservations m_observations;
    std::unordered_map<std::uint64_t, Record> m_records;
    std::size_t m_maxPrefixParts = PrefixCacheEstimator::defaultMaxParts;
    std::map<InstanceId, std::map<std::uint64_t, ServerLoadSum>> m_peerLoads;
    /** Servers of which each other instance has reported as their owner. */
    std::map<InstanceId, std::vector<std::uint64_t>> m_reportedServers;
    /** Slowness over all servers, for plain services (0) and engines (1), by priority. */
    std::array<std::array<double, priorityLevels>, 2> m_overallSlowness;
};

} // namespace yuccashift
