#include "yuccashift/dispatch/server_choice.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace yuccashift {

namespace {

    using Millis = std::chrono::duration<double, std::milli>;

    /** Prompt tokens that an engine prefills in a millisecond between the steps of a running batch; corrected by slowness. */
    constexpr double prefillTokensPerMs = 60.0;
    /** Fixed part of the time to first token, also at an idle engine. */
    constexpr double engineBaseMs = 50.0;
    /** Delay of the first token per request in the batch, since a larger batch has longer steps. */
    constexpr double batchMsPerRequest = 0.6;
    /** Wait per token over an engine's usable memory: a request of ten thousand tokens leaves after about two seconds, with forty running at a time. */
    constexpr double overflowMsPerToken = 0.02;
    /** Share of an engine's memory that requests may fill before it evicts prefixes and preempts requests. */
    constexpr double usableMemoryShare = 0.9;
    /** Time that one request occupies a slot of a plain service, which is not an engine; corrected by slowness. */
    constexpr double plainRequestMs = 60.0;
    /** Wait per request over an engine's slots. */
    constexpr double slotWaitMs = 40.0;
    /** A server counts as stalled if its oldest request has waited for longer than the prediction times this factor, and at least the minimum. */
    constexpr double stallFactor = 3.0;
    constexpr double minStallMs = 500.0;
    /** A server is excluded as failing if its share of failures exceeds this share and, by the factor, the mean of all candidates; it needs at least this many samples. */
    constexpr double failingShare = 0.35;
    constexpr double failingMeanFactor = 1.8;
    /** Streams slower than the median by this factor indicate a slow server rather than a fuller batch. */
    constexpr double slowStreamFactor = 1.8;
    constexpr double maxSlowness = 10.0;
    /** Number of servers with recent streams below which the median means nothing. */
    constexpr std::size_t minComparedStreams = 3;
    /** Costs closer together than this are ties. */
    constexpr double tieMs = 4.0;
    /** Weight of the delay that a prefill causes to other requests. */
    constexpr double delayToOthersWeight = 1.0;
    /** Longest extra wait at the server that holds the prefix, as a multiple of the prefill time that it saves. */
    constexpr double maxWaitPerSavedPrefill = 5.0;

    double engineFirstByteMs(const ServerCandidate& server, const WorkSize& work)
    {
        const double uncached = work.promptTokens - std::min(work.promptTokens, server.cachedTokens);
        double tokensAhead = server.prefillTokensAhead;
        for (std::size_t i = 0; i <= std::min(work.priority, priorityLevels - 1); ++i)
            tokensAhead += std::max(0, server.load.waitingPromptTokens[i]);
        double ms = engineBaseMs + batchMsPerRequest * server.load.requests + (tokensAhead + uncached) / prefillTokensPerMs;
        if (server.memoryTokens > 0) {
            const double requiredTokens = static_cast<double>(server.load.memoryTokens) + work.memoryTokens();
            ms += overflowMsPerToken * std::max(0.0, requiredTokens - usableMemoryShare * static_cast<double>(server.memoryTokens));
        }
        return ms + slotWaitMs * std::max(0, server.load.requests + 1 - static_cast<std::int32_t>(server.slots));
    }

    double plainFirstByteMs(const ServerCandidate& server)
    {
        const double rounds = std::max(1.0, (server.load.requests + 1.0) / std::max(1U, server.slots));
        return plainRequestMs * rounds;
    }

    /** Cost of a request at a server: its own wait, and the prefill that delays other requests. */
    Duration selectionCost(const ServerCandidate& server, const WorkSize& work, Duration predicted)
    {
        if (!server.engine)
            return predicted;
        const double uncached = work.promptTokens - std::min(work.promptTokens, server.cachedTokens);
        return predicted + prefillTime(delayToOthersWeight * uncached);
    }

    ServerRejectReason rejectReason(const ServerCandidate& server, double meanFailureShare)
    {
        if (server.tried)
            return ServerRejectReason::Tried;
        if (server.otherSoftware)
            return ServerRejectReason::OtherSoftware;
        if (server.suspect)
            return ServerRejectReason::Suspect;
        if (server.restFor > Duration::zero())
            return ServerRejectReason::Resting;
        if (server.fullFor > Duration::zero())
            return ServerRejectReason::Full;
        if (server.limited)
            return ServerRejectReason::Limited;
        if (server.cold && !server.warmUpAllowed)
            return ServerRejectReason::Cold;
        if (!server.connectionsLeft)
            return ServerRejectReason::NoConnections;
        if (server.outcomeSamples >= minFailingSamples && server.failureShare > failingShare && server.failureShare > failingMeanFactor * meanFailureShare)
            return ServerRejectReason::Failing;
        return ServerRejectReason::None;
    }

    /** Mean of the servers that may take the request. */
    double meanFailureShare(std::span<const ServerCandidate> candidates)
    {
        double sum = 0;
        std::size_t count = 0;
        for (const auto& it : candidates) {
            sum += it.otherSoftware ? 0 : it.failureShare;
            count += it.otherSoftware ? 0 : 1;
        }
        return count == 0 ? 0 : sum / static_cast<double>(count);
    }

} // namespace

std::string_view toString(ServerRejectReason reason)
{
    switch (reason) {
    case ServerRejectReason::None:
        return "no";
    case ServerRejectReason::Tried:
        return "tried";
    case ServerRejectReason::OtherSoftware:
        return "other_software";
    case ServerRejectReason::Suspect:
        return "suspect";
    case ServerRejectReason::Full:
        return "full";
    case ServerRejectReason::Resting:
        return "resting";
    case ServerRejectReason::Limited:
        return "limited";
    case ServerRejectReason::Cold:
        return "cold";
    case ServerRejectReason::NoConnections:
        return "no_connections";
    case ServerRejectReason::Failing:
        return "failing";
    case ServerRejectReason::NotSampled:
        break;
    }
    return "not_drawn";
}

void applyStreamSlowness(std::span<ServerCandidate> candidates)
{
    std::vector<double> gaps;
    for (const auto& it : candidates) {
        if (it.streamChunkGap > Duration::zero())
            gaps.push_back(Millis(it.streamChunkGap).count());
    }
    if (gaps.size() < minComparedStreams)
        return;
    const auto median = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
    std::ranges::nth_element(gaps, median);
    for (auto& it : candidates) {
        const auto factor = Millis(it.streamChunkGap).count() / *median;
        if (factor > slowStreamFactor)
            it.slowness = std::max(it.slowness, std::min(factor, maxSlowness));
    }
}

Duration prefillTime(double tokens)
{
    return std::chrono::duration_cast<Duration>(Millis(tokens / prefillTokensPerMs));
}

Duration predictIdleTimeToFirstByte(bool engine, const WorkSize& work)
{
    ServerCandidate idle;
    idle.engine = engine;
    return predictTimeToFirstByte(idle, work);
}

Duration predictTimeToFirstByte(const ServerCandidate& server, const WorkSize& work)
{
    double ms = (server.engine ? engineFirstByteMs(server, work) : plainFirstByteMs(server)) * server.slowness;
    const double waited = Millis(server.oldestWait).count();
    if (waited > std::max(minStallMs, stallFactor * ms))
        ms += waited;
    return std::chrono::duration_cast<Duration>(Millis(ms));
}

namespace {

    /**
     * Index of the usable server with the longest cached prefix, among those with more
     * of it cached than the chosen one that answer soon enough; else std::nullopt.
     */
    std::optional<std::size_t> prefixHolder(std::span<const ServerCandidate> candidates, const ServerChoice& choice, const WorkSize& work, PrefixAffinity affinity)
    {
        std::optional<std::size_t> holder;
        Duration holderPredicted {};
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const auto cached = candidates[i].cachedTokens;
            const auto chosen = candidates[*choice.best].cachedTokens;
            const auto held = holder ? candidates[*holder].cachedTokens : 0;
            if (choice.rejectReasons[i] != ServerRejectReason::None || cached <= chosen || cached < held)
                continue;
            const auto predicted = predictTimeToFirstByte(candidates[i], work);
            if (cached == held && predicted >= holderPredicted)
                continue;
            const bool worthItsWait = predicted <= affinity.limit && predicted <= choice.predicted + prefillTime(maxWaitPerSavedPrefill * (cached - chosen));
            if (worthItsWait || predicted <= affinity.unconditional) {
                holder = i;
                holderPredicted = predicted;
            }
        }
        return holder;
    }

    /** Index of the usable server with the best rank for the prefix that answers soon enough; std::nullopt if there is none. */
    std::optional<std::size_t> rankedServer(std::span<const ServerCandidate> candidates, const ServerChoice& choice, const WorkSize& work, PrefixAffinity affinity)
    {
        std::optional<std::size_t> ranked;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const auto rank = candidates[i].prefixRank;
            if (rank == 0 || choice.rejectReasons[i] != ServerRejectReason::None || (ranked && rank > candidates[*ranked].prefixRank))
                continue;
            const auto predicted = predictTimeToFirstByte(candidates[i], work);
            const auto extra = predicted - choice.predicted;
            if (predicted <= affinity.unconditional || extra <= affinity.rankedWait)
                ranked = i;
        }
        return ranked;
    }

} // namespace

std::string ServerChoice::rejectSummary() const
{
    std::map<std::string_view, std::size_t> counts;
    for (const auto reason : rejectReasons) {
        if (reason != ServerRejectReason::None)
            ++counts[toString(reason)];
    }
    std::string text;
    for (const auto& [reason, count] : counts)
        text.append(text.empty() ? "" : ",").append(reason).append(":").append(std::to_string(count));
    return text;
}

ServerChoice chooseServer(std::span<const ServerCandidate> candidates, const WorkSize& work, PrefixAffinity affinity, std::uint64_t randomBits)
{
    ServerChoice choice;
    choice.rejectReasons.reserve(candidates.size());
    const auto mean = meanFailureShare(candidates);
    const bool anySampled = std::ranges::any_of(candidates, [&](const auto& it) { return it.sampled && rejectReason(it, mean) == ServerRejectReason::None; });
    const auto tie = std::chrono::duration_cast<Duration>(Millis(tieMs));
    Duration bestCost {};
    Duration runnerUpCost {};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        auto reason = rejectReason(candidates[i], mean);
        if (reason == ServerRejectReason::None && anySampled && !candidates[i].sampled)
            reason = ServerRejectReason::NotSampled;
        choice.rejectReasons.push_back(reason);
        if (reason != ServerRejectReason::None)
            continue;
        ++choice.usable;
        const auto predicted = predictTimeToFirstByte(candidates[i], work);
        const auto cost = selectionCost(candidates[i], work, predicted);
        // A later candidate wins a tie with probability 1/usable, which is fair if all usable candidates tie.
        const bool equal = choice.best && std::chrono::abs(cost - bestCost) < tie;
        const bool better = !choice.best || (equal ? randomBits % choice.usable == 0 : cost < bestCost);
        if (equal)
            randomBits /= choice.usable;
        if (better) {
            choice.runnerUp = choice.best;
            choice.runnerUpPredicted = choice.predicted;
            runnerUpCost = bestCost;
            choice.best = i;
            choice.predicted = predicted;
            bestCost = cost;
        } else if (!choice.runnerUp || cost < runnerUpCost) {
            choice.runnerUp = i;
            choice.runnerUpPredicted = predicted;
            runnerUpCost = cost;
        }
    }
    auto holder = choice.best && affinity.rankedWait > Duration::zero() ? rankedServer(candidates, choice, work, affinity) : std::nullopt;
    if (choice.best && !holder)
        holder = prefixHolder(candidates, choice, work, affinity);
    if (holder && holder != choice.best) {
        choice.runnerUp = choice.best;
        choice.runnerUpPredicted = choice.predicted;
        choice.best = holder;
        choice.predicted = predictTimeToFirstByte(candidates[*holder], work);
    }
    return choice;
}

} // namespace yuccashift
