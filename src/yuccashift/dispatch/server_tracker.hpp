#pragma once

#include "yuccashift/dispatch/prefix_cache_estimator.hpp"
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

/** What one instance, or several together, have in progress at one backend server. */
struct ServerLoadSum {
    std::int32_t requests = 0;
    /** Prompt tokens of requests that have not begun, by their rank of urgency. */
    std::array<std::int32_t, priorityLevels> waitingPromptTokens {};
    /** Tokens that the requests occupy in the engine's memory. */
    std::int32_t memoryTokens = 0;

    ServerLoadSum& operator+=(const ServerLoadSum&);
    ServerLoadSum& operator-=(const ServerLoadSum&);
};

/** The prompt that an engine is reading now; it is read to its end whatever else arrives. */
struct ActivePrefill {
    /** Tokens left when it was noted. */
    std::int32_t tokens = 0;
    std::size_t priority = 0;
    Instant observedAt {};

    /** Tokens left at a later time. */
    std::int32_t remaining(Instant now) const;
};

/** How a request at a server ended, as far as it tells something about the server. */
enum class ServerOutcome {
    Succeeded,
    /** The server answered with a failure of its own. */
    Failed,
    /** The connection broke, or none could be had. */
    Lost,
    /** The server refused it without running it. */
    Rejected,
    /** The caller left, or its time was up; says nothing. */
    Abandoned,
};

/** What is known of one server beyond its entry. */
struct ServerStatus {
    ServerLoadSum own;
    ServerLoadSum peers;
    /** Observed over unscaled predicted time to the first byte, by rank of urgency, and the samples behind it. */
    std::array<double, priorityLevels> slowness { 1.0, 1.0, 1.0, 1.0 };
    std::array<std::uint32_t, priorityLevels> slownessSamples {};
    /** Share of recent requests that failed or were lost. */
    double failureShare = 0.0;
    std::uint32_t outcomeSamples = 0;
    /** Connections fail: no requests until a probe or a new entry says otherwise. */
    bool suspect = false;
    Instant suspectSince {};
    /** Answers "full" until then. */
    Instant fullUntil {};
    /** Newest request that this instance sent while the server was cold. */
    Instant lastColdSend {};
    Instant lastProbe {};
    /** When the oldest request without a first byte was sent. */
    std::optional<Instant> waitingSince;
    /** When a first byte last came from the server. */
    Instant lastFirstByte {};
    /** Running mean of the time between two parts of a stream, and when the last part came. */
    Duration streamChunkGap {};
    Instant lastChunkAt {};

    ServerLoadSum total() const;
};

/** What a server is about to be sent. */
struct OutgoingRequest {
    const WorkSize& work;
    /** Tokens of the prompt that are to be read there. */
    std::uint32_t uncachedTokens = 0;
    /** Time to the first byte as predicted, and the slowness in it. */
    Duration predicted {};
    double slowness = 1.0;
    bool engine = false;
    /** Tokens that fit into its memory. */
    std::uint64_t memoryTokens = 0;
};

/** Ticket of one request at one server, from its sending to its end. */
struct RequestTicket {
    std::uint64_t server = 0;
    ServerLoadSum load;
    std::size_t priority = 0;
    Instant sentAt {};
    /** Predicted time to the first byte without the slowness that was known. */
    Duration unscaledPrediction {};
    bool engine = false;
    bool firstByteSeen = false;
    Instant lastChunkAt {};
};

/**
 * Load and health of the backend servers of a region: own requests at once,
 * those of other instances from their heartbeats.
 */
class ServerTracker {
public:
    explicit ServerTracker(const Clock&);

    const ServerStatus& statusOf(std::uint64_t server) const;
    const PrefixCacheEstimator* prefixCacheOf(std::uint64_t server) const;

    /** A request goes out. */
    RequestTicket onSend(std::uint64_t server, const OutgoingRequest&);
    /**
     * Slowness to expect of a server: its own as far as it was seen here, and else
     * that of all. Of many servers an instance sees each one rarely.
     */
    double expectedSlowness(std::uint64_t server, bool engine, std::size_t rank) const;
    /** The first byte of a stream's body, or of an answer. */
    void onFirstByte(RequestTicket&);
    /** A part of a stream came, the first one included. */
    void onStreamChunk(RequestTicket&);
    void onComplete(RequestTicket&, ServerOutcome);

    /** A probe or a new entry shows that the server takes connections again. */
    void clearSuspect(std::uint64_t server);
    void markSuspect(std::uint64_t server);
    void recordProbe(std::uint64_t server);
    void recordColdSend(std::uint64_t server);
    void markFull(std::uint64_t server, Duration);
    /** Replaces what an instance has in progress; an empty list forgets the instance. */
    void setPeerLoads(const InstanceId&, std::map<std::uint64_t, ServerLoadSum>);
    /** The server is gone for good. */
    void remove(std::uint64_t server);

    /** Own requests in progress, for heartbeats. */
    std::vector<std::pair<std::uint64_t, ServerLoadSum>> ownLoads() const;
    /** The oldest of the own prompts that a server has not begun to answer. */
    ActivePrefill ownPrefill(std::uint64_t server) const;
    /** Tokens left of a prompt of a later rank that the server reads before one of this rank. */
    std::int32_t prefillTokensAhead(std::uint64_t server, std::size_t rank) const;
    void setPeerPrefill(const InstanceId&, std::uint64_t server, ActivePrefill);

private:
    struct Record {
        ServerStatus knowledge;
        std::optional<PrefixCacheEstimator> prefixes;
        /** Requests without a first byte by the time of their sending. */
        std::multimap<Instant, ActivePrefill> waiting;
        std::map<InstanceId, ActivePrefill> peersReading;
    };
    void stopWaiting(Record&, const RequestTicket&);

    const Clock& m_clock;
    std::unordered_map<std::uint64_t, Record> m_records;
    std::map<InstanceId, std::map<std::uint64_t, ServerLoadSum>> m_peerLoads;
    /** Slowness over all servers, for plain services and engines, by rank. */
    std::array<std::array<double, priorityLevels>, 2> m_overall;
};

} // namespace yuccashift
