#pragma once

#include "yuccashift/dispatch/server_tracker.hpp"
#include "yuccashift/dispatch/work.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace yuccashift {

/** Outcomes that must be known of a server before it can count as failing. */
constexpr std::uint32_t minFailingSamples = 4;

/** A backend server with the inputs to the choice. */
struct ServerCandidate {
    std::uint64_t key = 0;
    std::uint32_t slots = 1;
    bool engine = false;
    /** Tokens that fit into the engine's memory; 0 if unknown. */
    std::uint64_t memoryTokens = 0;
    /** Tokens of this request's prompt that the server is expected to have cached. */
    std::uint32_t cachedTokens = 0;
    /** Rank among the servers that all instances of the region choose for the shared prefix, from 1; 0 if it is none of them. */
    std::uint32_t prefixRank = 0;
    /** The part of these tokens that this instance sent there itself, or all of them if the region is the prefix's home. */
    std::uint32_t surelyCachedTokens = 0;
    ServerLoadSum load;
    /** Tokens left of a less urgent prompt that the server is prefilling. */
    std::int32_t prefillTokensAhead = 0;
    /** Ratio of observed to predicted time to first byte at the request's priority. */
    double slowness = 1.0;
    /** Share of recent requests that failed or were lost, and the number of requests counted. */
    double failureShare = 0.0;
    std::uint32_t outcomeSamples = 0;
    /** Recent mean time between two chunks of its streams; zero if no chunk arrived recently. */
    Duration streamChunkGap {};
    /** How long the oldest request has waited for its first byte. */
    Duration oldestWait {};
    /** Connections to it fail. */
    bool suspect = false;
    /** Positive if it is full: it refused a request a moment ago or has as many as it takes. The time until it may take another. */
    Duration fullFor {};
    /** It started recently and takes requests at a limited rate. */
    bool cold = false;
    /** It asked for no requests for this time; zero if it takes them. */
    Duration restFor {};
    /** It named a rate limit, of which this instance has no request left at the moment. */
    bool limited = false;
    /** Whether this instance may send it the next request while it is cold. */
    bool warmUpAllowed = false;
    bool connectionsLeft = true;
    /** Whether it is in the random sample for this request; others are used only if no sampled server can take it. */
    bool sampled = true;
    /** Whether this request was already sent to it. */
    bool tried = false;
    /** Whether it runs another software than the one that began the request's stream. */
    bool otherSoftware = false;

    /** Whether it takes no request of this kind for now, however much capacity it has. */
    bool barred() const { return otherSoftware || suspect || limited || restFor > Duration::zero(); }
};

/** Why a candidate cannot be chosen. */
enum class ServerRejectReason {
    None,
    Tried,
    OtherSoftware,
    Suspect,
    Full,
    Resting,
    Limited,
    Cold,
    NoConnections,
    Failing,
    /** Outside the random sample that keeps concurrent requests from all choosing the same server. */
    NotSampled,
};
std::string_view toString(ServerRejectReason);

/** Time that a busy engine takes to prefill the given number of prompt tokens. */
Duration prefillTime(double tokens);
/** Predicted time to first byte at an idle server with an empty cache. */
Duration predictIdleTimeToFirstByte(bool engine, const WorkSize&);
/** Predicted time to first byte, counted from sending. */
Duration predictTimeToFirstByte(const ServerCandidate&, const WorkSize&);

/**
 * Raises the slowness of servers whose streams are much slower than the median.
 * Stream chunks show a slow server within a second, earlier than first bytes do.
 */
void applyStreamSlowness(std::span<ServerCandidate>);

struct ServerChoice {
    /** Index of the best candidate; std::nullopt if none can take the request. */
    std::optional<std::size_t> best;
    /** Predicted time to first byte at the best candidate. */
    Duration predicted {};
    /** Index and predicted time to first byte of the second best candidate, for the log. */
    std::optional<std::size_t> runnerUp;
    Duration runnerUpPredicted {};
    /** Number of candidates that could take the request. */
    std::size_t usable = 0;
    /** One reason for each candidate, in their order. */
    std::vector<ServerRejectReason> rejectReasons;

    /** Number of rejected candidates by reason, as `reason:count` joined by commas; for the log. */
    std::string rejectSummary() const;
};

/** Within which time a server that has more of the prefix cached is preferred. */
struct PrefixAffinity {
    /** It has to answer within this time, and the extra wait has to be in proportion to the prefill that it saves. */
    Duration limit {};
    /** If it answers within this time, it is preferred however long the extra wait is. */
    Duration unconditional {};
    /** The servers with a rank for the prefix are preferred, in that order, up to this extra wait; zero if ranks do not matter. */
    Duration rankedWait {};
};

/**
 * Chooses the server with the lowest cost: the predicted time to first byte, plus
 * at engines the prefill of uncached tokens once more, since it delays other
 * requests too. The prediction covers waiting prompts of the same or a more urgent
 * priority, cached prefixes, memory and batch size. A server that has more of the
 * prefix cached is preferred within the limits given. `randomBits` breaks ties.
 */
ServerChoice chooseServer(std::span<const ServerCandidate>, const WorkSize&, PrefixAffinity, std::uint64_t randomBits);

} // namespace yuccashift
