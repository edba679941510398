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

/** One backend server as the choice sees it. */
struct ServerCandidate {
    std::uint64_t key = 0;
    std::uint32_t slots = 1;
    bool engine = false;
    /** Tokens that fit into its memory; 0 where unknown. */
    std::uint64_t memoryTokens = 0;
    /** Tokens of this request's prompt that it is believed to hold. */
    std::uint32_t cachedTokens = 0;
    ServerLoadSum load;
    /** Tokens left of a less urgent prompt that it is reading now. */
    std::int32_t prefillTokensAhead = 0;
    /** Observed over predicted time at the request's rank. */
    double slowness = 1.0;
    double failureShare = 0.0;
    std::uint32_t outcomeSamples = 0;
    /** Recent time between two parts of its streams; zero where none came lately. */
    Duration streamChunkGap {};
    /** How long its oldest request has waited for a first byte. */
    Duration oldestWait {};
    bool suspect = false;
    bool full = false;
    bool cold = false;
    /** Whether this instance may send the next request to it while it is cold. */
    bool warmUpAllowed = false;
    bool connectionsLeft = true;
    /** Whether this request looks at it at all; others take their chance where none of these can. */
    bool sampled = true;
    /** Already tried for this request. */
    bool tried = false;
};

/** Why a candidate was passed over. */
enum class ServerRejectReason {
    None,
    Tried,
    Suspect,
    Full,
    Cold,
    NoConnections,
    Failing,
    /** Left to other requests, so that not all take the same server. */
    NotSampled,
};
std::string_view toString(ServerRejectReason);

/** Time in which a busy engine reads so many tokens of a prompt. */
Duration prefillTime(double tokens);
/** Time until a request's first byte at a server without other work that knows none of its prompt. */
Duration predictIdleTimeToFirstByte(bool engine, const WorkSize&);
/** Time until a request's first byte, from its sending on. */
Duration predictTimeToFirstByte(const ServerCandidate&, const WorkSize&);

/**
 * Raises the slowness of servers whose streams come much slower than those of
 * their peers. Shows a slow server within a second, and before first bytes do.
 */
void applyStreamSlowness(std::span<ServerCandidate>);

struct ServerChoice {
    /** Index of the best candidate; nothing where none can take the request. */
    std::optional<std::size_t> best;
    Duration predicted {};
    /** Index and prediction of the next best, for the log. */
    std::optional<std::size_t> runnerUp;
    Duration runnerUpPredicted {};
    std::size_t usable = 0;
    /** Reasons, one for each candidate. */
    std::vector<ServerRejectReason> rejectReasons;

    /** How many were passed over for each reason, as `reason:count` with commas; for the log. */
    std::string rejectSummary() const;
};

/**
 * Picks the server where the first byte is due soonest, by waiting prompts of
 * the same rank and before, cached prefix, memory and batch. Reading a prefix
 * again delays others too and counts once more; a server that holds the prefix
 * and answers within `soonEnough` goes before all. `draw` spreads ties.
 */
ServerChoice chooseServer(std::span<const ServerCandidate>, const WorkSize&, Duration soonEnough, std::uint64_t draw);

} // namespace yuccashift
