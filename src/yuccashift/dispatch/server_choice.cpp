#include "yuccashift/dispatch/server_choice.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace yuccashift {

namespace {

    using Millis = std::chrono::duration<double, std::milli>;

    /** Prompt tokens that an engine reads in a millisecond between the steps of a running batch; corrected by slowness. */
    constexpr double promptTokensPerMs = 60.0;
    /** Fixed time to a first token of an idle engine. */
    constexpr double engineBaseMs = 50.0;
    /** Longer steps of a larger batch delay the first token. */
    constexpr double batchMsPerRequest = 0.6;
    /** Time for which one token over an engine's memory waits: a request of ten thousand tokens leaves after about two seconds, forty at a time. */
    constexpr double overflowMsPerToken = 0.02;
    /** Share of an engine's memory that requests may fill before prefixes and preemption suffer. */
    constexpr double usableMemoryShare = 0.9;
    /** Time of one request in a plain service's slot; corrected by slowness. */
    constexpr double plainWorkMs = 60.0;
    /** Time for which one request over an engine's slots waits. */
    constexpr double slotWaitMs = 40.0;
    /** A first byte that is overdue by this factor counts as a stalled server. */
    constexpr double stallFactor = 3.0;
    constexpr double leastStallMs = 500.0;
    /** A server fails too often from this share on, with so many samples, where its peers do better. */
    constexpr double failingShare = 0.35;
    constexpr std::uint32_t failingSamples = 4;
    constexpr double failingAgainstMean = 1.8;
    /** Streams that are slower than the median by this factor show a slow server and not a fuller batch. */
    constexpr double slowStreamFactor = 1.8;
    constexpr double mostSlowness = 10.0;
    /** Servers whose streams were seen lately, without which there is no median to compare with. */
    constexpr std::size_t fewestCompared = 3;
    /** Predictions so close are equal. */
    constexpr double tieMs = 4.0;
    /** How much the delay of others counts against a server that has to read the prompt again. */
    constexpr double othersWeight = 1.0;
    /** How many times the reading that it saves a request may wait longer at the server that holds its prefix. */
    constexpr double waitForReading = 5.0;

    double engineMs(const ServerCandidate& server, const WorkSize& work)
    {
        const double uncached = work.promptTokens - std::min(work.promptTokens, server.cachedTokens);
        double ahead = server.prefillTokensAhead;
        for (std::size_t i = 0; i <= std::min(work.priority, priorityLevels - 1); ++i)
            ahead += std::max(0, server.load.waitingPromptTokens[i]);
        double ms = engineBaseMs + batchMsPerRequest * server.load.requests + (ahead + uncached) / promptTokensPerMs;
        if (server.memoryTokens > 0) {
            const double wanted = static_cast<double>(server.load.memoryTokens) + work.memoryTokens();
            ms += overflowMsPerToken * std::max(0.0, wanted - usableMemoryShare * static_cast<double>(server.memoryTokens));
        }
        return ms + slotWaitMs * std::max(0, server.load.requests + 1 - static_cast<std::int32_t>(server.slots));
    }

    double plainMs(const ServerCandidate& server)
    {
        const double rounds = std::max(1.0, (server.load.requests + 1.0) / std::max(1U, server.slots));
        return plainWorkMs * rounds;
    }

    /** What a request costs there: its own wait, and the reading that delays others. */
    Duration costOf(const ServerCandidate& server, const WorkSize& work, Duration predicted)
    {
        if (!server.engine)
            return predicted;
        const double uncached = work.promptTokens - std::min(work.promptTokens, server.cachedTokens);
        return predicted + prefillTime(othersWeight * uncached);
    }

    ServerRejectReason check(const ServerCandidate& server, double meanFailureShare)
    {
        if (server.tried)
            return ServerRejectReason::Tried;
        if (server.suspect)
            return ServerRejectReason::Suspect;
        if (server.full)
            return ServerRejectReason::Full;
        if (server.cold && !server.warmUpAllowed)
            return ServerRejectReason::Cold;
        if (!server.connectionsLeft)
            return ServerRejectReason::NoConnections;
        if (server.outcomeSamples >= failingSamples && server.failureShare > failingShare && server.failureShare > failingAgainstMean * meanFailureShare)
            return ServerRejectReason::Failing;
        return ServerRejectReason::None;
    }

    double meanFailureShare(std::span<const ServerCandidate> candidates)
    {
        double sum = 0;
        for (const auto& it : candidates)
            sum += it.failureShare;
        return candidates.empty() ? 0 : sum / static_cast<double>(candidates.size());
    }

} // namespace

std::string_view toString(ServerRejectReason reason)
{
    switch (reason) {
    case ServerRejectReason::None:
        return "no";
    case ServerRejectReason::Tried:
        return "tried";
    case ServerRejectReason::Suspect:
        return "suspect";
    case ServerRejectReason::Full:
        return "full";
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
    if (gaps.size() < fewestCompared)
        return;
    const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
    std::ranges::nth_element(gaps, middle);
    for (auto& it : candidates) {
        const auto factor = Millis(it.streamChunkGap).count() / *middle;
        if (factor > slowStreamFactor)
            it.slowness = std::max(it.slowness, std::min(factor, mostSlowness));
    }
}

Duration prefillTime(double tokens)
{
    return std::chrono::duration_cast<Duration>(Millis(tokens / promptTokensPerMs));
}

Duration predictIdleTimeToFirstByte(bool engine, const WorkSize& work)
{
    ServerCandidate idle;
    idle.engine = engine;
    return predictTimeToFirstByte(idle, work);
}

Duration predictTimeToFirstByte(const ServerCandidate& server, const WorkSize& work)
{
    double ms = (server.engine ? engineMs(server, work) : plainMs(server)) * server.slowness;
    const double waited = Millis(server.oldestWait).count();
    if (waited > std::max(leastStallMs, stallFactor * ms))
        ms += waited;
    return std::chrono::duration_cast<Duration>(Millis(ms));
}

namespace {

    /**
     * The usable server with the longest cached prefix among those that answer soon
     * enough, and whose wait beyond the chosen one stands in proportion to what need
     * not be read again.
     */
    std::optional<std::size_t> prefixHolder(std::span<const ServerCandidate> candidates, const ServerChoice& choice, const WorkSize& work, Duration soonEnough)
    {
        std::optional<std::size_t> holder;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const auto cached = candidates[i].cachedTokens;
            const auto chosen = candidates[*choice.best].cachedTokens;
            if (choice.rejectReasons[i] != ServerRejectReason::None || cached <= chosen || cached <= (holder ? candidates[*holder].cachedTokens : 0))
                continue;
            const auto predicted = predictTimeToFirstByte(candidates[i], work);
            if (predicted <= soonEnough && predicted <= choice.predicted + prefillTime(waitForReading * (cached - chosen)))
                holder = i;
        }
        return holder;
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

ServerChoice chooseServer(std::span<const ServerCandidate> candidates, const WorkSize& work, Duration soonEnough, std::uint64_t draw)
{
    ServerChoice choice;
    choice.rejectReasons.reserve(candidates.size());
    const auto mean = meanFailureShare(candidates);
    const bool anyDrawn = std::ranges::any_of(candidates, [&](const auto& it) { return it.sampled && check(it, mean) == ServerRejectReason::None; });
    const auto tie = std::chrono::duration_cast<Duration>(Millis(tieMs));
    Duration bestCost {};
    Duration runnerUpCost {};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        auto reason = check(candidates[i], mean);
        if (reason == ServerRejectReason::None && anyDrawn && !candidates[i].sampled)
            reason = ServerRejectReason::NotSampled;
        choice.rejectReasons.push_back(reason);
        if (reason != ServerRejectReason::None)
            continue;
        ++choice.usable;
        const auto predicted = predictTimeToFirstByte(candidates[i], work);
        const auto cost = costOf(candidates[i], work, predicted);
        // A later candidate wins a tie with the chance that leaves all equal.
        const bool equal = choice.best && std::chrono::abs(cost - bestCost) < tie;
        const bool better = !choice.best || (equal ? draw % choice.usable == 0 : cost < bestCost);
        if (equal)
            draw /= choice.usable;
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
    const auto holder = choice.best ? prefixHolder(candidates, choice, work, soonEnough) : std::nullopt;
    if (holder && holder != choice.best) {
        choice.runnerUp = choice.best;
        choice.runnerUpPredicted = choice.predicted;
        choice.best = holder;
        choice.predicted = predictTimeToFirstByte(candidates[*holder], work);
    }
    return choice;
}

} // namespace yuccashift
