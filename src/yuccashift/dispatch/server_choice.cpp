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
        double ahead = server.readingTokens;
        for (std::size_t i = 0; i <= std::min(work.rank, urgencyRanks - 1); ++i)
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
        return predicted + readingTime(othersWeight * uncached);
    }

    PassedOver check(const ServerCandidate& server, double meanFailureShare)
    {
        if (server.tried)
            return PassedOver::Tried;
        if (server.suspect)
            return PassedOver::Suspect;
        if (server.full)
            return PassedOver::Full;
        if (server.cold && !server.coldTurn)
            return PassedOver::Cold;
        if (!server.connectionsLeft)
            return PassedOver::NoConnections;
        if (server.samples >= failingSamples && server.failureShare > failingShare && server.failureShare > failingAgainstMean * meanFailureShare)
            return PassedOver::Failing;
        return PassedOver::No;
    }

    double meanFailureShare(std::span<const ServerCandidate> candidates)
    {
        double sum = 0;
        for (const auto& it : candidates)
            sum += it.failureShare;
        return candidates.empty() ? 0 : sum / static_cast<double>(candidates.size());
    }

} // namespace

std::string_view toString(PassedOver reason)
{
    switch (reason) {
    case PassedOver::No:
        return "no";
    case PassedOver::Tried:
        return "tried";
    case PassedOver::Suspect:
        return "suspect";
    case PassedOver::Full:
        return "full";
    case PassedOver::Cold:
        return "cold";
    case PassedOver::NoConnections:
        return "no_connections";
    case PassedOver::Failing:
        return "failing";
    case PassedOver::NotDrawn:
        break;
    }
    return "not_drawn";
}

void noteSlowStreams(std::span<ServerCandidate> candidates)
{
    std::vector<double> gaps;
    for (const auto& it : candidates) {
        if (it.partGap > Duration::zero())
            gaps.push_back(Millis(it.partGap).count());
    }
    if (gaps.size() < fewestCompared)
        return;
    const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
    std::ranges::nth_element(gaps, middle);
    for (auto& it : candidates) {
        const auto factor = Millis(it.partGap).count() / *middle;
        if (factor > slowStreamFactor)
            it.slowness = std::max(it.slowness, std::min(factor, mostSlowness));
    }
}

Duration readingTime(double tokens)
{
    return std::chrono::duration_cast<Duration>(Millis(tokens / promptTokensPerMs));
}

Duration idleFirstByte(bool engine, const WorkSize& work)
{
    ServerCandidate idle;
    idle.engine = engine;
    return predictFirstByte(idle, work);
}

Duration predictFirstByte(const ServerCandidate& server, const WorkSize& work)
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
            if (choice.passedOver[i] != PassedOver::No || cached <= chosen || cached <= (holder ? candidates[*holder].cachedTokens : 0))
                continue;
            const auto predicted = predictFirstByte(candidates[i], work);
            if (predicted <= soonEnough && predicted <= choice.predicted + readingTime(waitForReading * (cached - chosen)))
                holder = i;
        }
        return holder;
    }

} // namespace

std::string ServerChoice::passedOverText() const
{
    std::map<std::string_view, std::size_t> counts;
    for (const auto reason : passedOver) {
        if (reason != PassedOver::No)
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
    choice.passedOver.reserve(candidates.size());
    const auto mean = meanFailureShare(candidates);
    const bool anyDrawn = std::ranges::any_of(candidates, [&](const auto& it) { return it.considered && check(it, mean) == PassedOver::No; });
    const auto tie = std::chrono::duration_cast<Duration>(Millis(tieMs));
    Duration bestCost {};
    Duration runnerUpCost {};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        auto reason = check(candidates[i], mean);
        if (reason == PassedOver::No && anyDrawn && !candidates[i].considered)
            reason = PassedOver::NotDrawn;
        choice.passedOver.push_back(reason);
        if (reason != PassedOver::No)
            continue;
        ++choice.usable;
        const auto predicted = predictFirstByte(candidates[i], work);
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
        choice.predicted = predictFirstByte(candidates[*holder], work);
    }
    return choice;
}

} // namespace yuccashift
