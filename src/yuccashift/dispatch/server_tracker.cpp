#include "yuccashift/dispatch/server_tracker.hpp"

#include <algorithm>
#include <utility>

namespace yuccashift {

namespace {

    /** Weight of the newest sample in running means: about the last ten requests count. */
    constexpr double sampleWeight = 0.1;
    /** Parts of streams come many times a second; about the last twenty count. */
    constexpr double partWeight = 0.05;
    /** Own samples of a server that weigh as much as what is known of all servers, and the most that count. */
    constexpr double samplesToTrust = 4;
    constexpr std::uint32_t mostPaceSamples = 20;
    /** Ratios beyond these are outliers of one request rather than the pace of a server. */
    constexpr double leastRatio = 0.3;
    constexpr double mostRatio = 6.0;
    /** Predictions below this say little about the pace. */
    constexpr Duration leastComparable = milliseconds(20);

    /** Prompt tokens that an engine reads in a millisecond while nothing else runs. */
    constexpr double readingTokensPerMs = 75.0;
    /** Notes of other instances older than this are not used. */
    constexpr Duration readingNoteLife = milliseconds(1500);

    double runningMean(double mean, double sample)
    {
        return mean + sampleWeight * (sample - mean);
    }

} // namespace

std::int32_t ActivePrefill::remaining(Instant now) const
{
    const auto elapsed = std::chrono::duration<double, std::milli>(now - observedAt).count();
    return std::max(0, tokens - static_cast<std::int32_t>(elapsed * readingTokensPerMs));
}

ServerLoadSum& ServerLoadSum::operator+=(const ServerLoadSum& other)
{
    requests += other.requests;
    for (std::size_t i = 0; i < priorityLevels; ++i)
        waitingPromptTokens[i] += other.waitingPromptTokens[i];
    memoryTokens += other.memoryTokens;
    return *this;
}

ServerLoadSum& ServerLoadSum::operator-=(const ServerLoadSum& other)
{
    requests -= other.requests;
    for (std::size_t i = 0; i < priorityLevels; ++i)
        waitingPromptTokens[i] -= other.waitingPromptTokens[i];
    memoryTokens -= other.memoryTokens;
    return *this;
}

ServerLoadSum ServerStatus::total() const
{
    auto sum = own;
    sum += peers;
    return sum;
}

ServerTracker::ServerTracker(const Clock& clock)
    : m_clock(clock)
{
    for (auto& ranks : m_overall)
        ranks.fill(1.0);
}

const ServerStatus& ServerTracker::statusOf(std::uint64_t server) const
{
    static const ServerStatus unknown;
    const auto it = m_records.find(server);
    return it == m_records.end() ? unknown : it->second.knowledge;
}

const PrefixCacheEstimator* ServerTracker::prefixCacheOf(std::uint64_t server) const
{
    const auto it = m_records.find(server);
    return it == m_records.end() || !it->second.prefixes ? nullptr : &*it->second.prefixes;
}

RequestTicket ServerTracker::onSend(std::uint64_t server, const OutgoingRequest& send)
{
    RequestTicket ticket;
    ticket.server = server;
    ticket.priority = std::min(send.work.priority, priorityLevels - 1);
    ticket.load.requests = 1;
    ticket.load.waitingPromptTokens[ticket.priority] = static_cast<std::int32_t>(send.uncachedTokens);
    ticket.load.memoryTokens = static_cast<std::int32_t>(send.work.memoryTokens());
    ticket.sentAt = m_clock.now();
    ticket.unscaledPrediction = std::chrono::duration_cast<Duration>(send.predicted / send.slowness);
    ticket.engine = send.engine;
    auto& record = m_records[server];
    auto& known = record.knowledge;
    known.own += ticket.load;
    record.waiting.emplace(ticket.sentAt, ActivePrefill { static_cast<std::int32_t>(send.uncachedTokens), ticket.priority, ticket.sentAt });
    known.waitingSince = record.waiting.begin()->first;
    if (!send.work.parts.empty()) {
        if (!record.prefixes)
            record.prefixes.emplace(send.memoryTokens);
        record.prefixes->onPrefill(send.work.parts);
    }
    return ticket;
}

double ServerTracker::expectedSlowness(std::uint64_t server, bool engine, std::size_t rank) const
{
    const auto at = std::min(rank, priorityLevels - 1);
    const auto& known = statusOf(server);
    const double samples = known.slownessSamples[at];
    return (known.slowness[at] * samples + m_overall[engine ? 1 : 0][at] * samplesToTrust) / (samples + samplesToTrust);
}

void ServerTracker::stopWaiting(Record& record, const RequestTicket& ticket)
{
    if (const auto it = record.waiting.find(ticket.sentAt); it != record.waiting.end())
        record.waiting.erase(it);
    record.knowledge.waitingSince.reset();
    if (!record.waiting.empty())
        record.knowledge.waitingSince = record.waiting.begin()->first;
}

void ServerTracker::onFirstByte(RequestTicket& ticket)
{
    const auto it = m_records.find(ticket.server);
    if (ticket.firstByteSeen || it == m_records.end())
        return;
    ticket.firstByteSeen = true;
    auto& known = it->second.knowledge;
    known.own.waitingPromptTokens[ticket.priority] -= ticket.load.waitingPromptTokens[ticket.priority];
    ticket.load.waitingPromptTokens[ticket.priority] = 0;
    stopWaiting(it->second, ticket);
    known.lastFirstByte = m_clock.now();
    if (ticket.unscaledPrediction < leastComparable)
        return;
    const auto took = std::chrono::duration<double>(m_clock.now() - ticket.sentAt);
    const auto ratio = std::clamp(took / std::chrono::duration<double>(ticket.unscaledPrediction), leastRatio, mostRatio);
    auto& samples = known.slownessSamples[ticket.priority];
    auto& slowness = known.slowness[ticket.priority];
    slowness = samples == 0 ? ratio : runningMean(slowness, ratio);
    samples = std::min(samples + 1, mostPaceSamples);
    auto& overall = m_overall[ticket.engine ? 1 : 0][ticket.priority];
    overall = runningMean(overall, ratio);
}

void ServerTracker::onStreamChunk(RequestTicket& ticket)
{
    const auto it = m_records.find(ticket.server);
    if (it == m_records.end())
        return;
    const auto now = m_clock.now();
    const auto before = std::exchange(ticket.lastChunkAt, now);
    if (before == Instant {})
        return;
    auto& known = it->second.knowledge;
    const auto gap = now - before;
    known.lastChunkAt = now;
    known.streamChunkGap = known.streamChunkGap == Duration::zero() ? gap : known.streamChunkGap + std::chrono::duration_cast<Duration>(partWeight * (gap - known.streamChunkGap));
}

void ServerTracker::onComplete(RequestTicket& ticket, ServerOutcome outcome)
{
    const auto it = m_records.find(ticket.server);
    if (ticket.server == 0 || it == m_records.end())
        return;
    auto& known = it->second.knowledge;
    known.own -= ticket.load;
    if (!ticket.firstByteSeen)
        stopWaiting(it->second, ticket);
    ticket.server = 0;
    if (outcome == ServerOutcome::Abandoned || outcome == ServerOutcome::Rejected)
        return;
    ++known.outcomeSamples;
    known.failureShare = runningMean(known.failureShare, outcome == ServerOutcome::Succeeded ? 0.0 : 1.0);
}

void ServerTracker::clearSuspect(std::uint64_t server)
{
    const auto it = m_records.find(server);
    if (it == m_records.end())
        return;
    it->second.knowledge.suspect = false;
    it->second.knowledge.failureShare = 0;
    it->second.knowledge.outcomeSamples = 0;
}

void ServerTracker::markSuspect(std::uint64_t server)
{
    auto& known = m_records[server].knowledge;
    if (!known.suspect)
        known.suspectSince = m_clock.now();
    known.suspect = true;
}

void ServerTracker::recordProbe(std::uint64_t server)
{
    m_records[server].knowledge.lastProbe = m_clock.now();
}

void ServerTracker::recordColdSend(std::uint64_t server)
{
    m_records[server].knowledge.lastColdSend = m_clock.now();
}

void ServerTracker::markFull(std::uint64_t server, Duration wait)
{
    m_records[server].knowledge.fullUntil = m_clock.now() + wait;
}

void ServerTracker::setPeerLoads(const InstanceId& instance, std::map<std::uint64_t, ServerLoadSum> loads)
{
    auto& held = m_peerLoads[instance];
    for (const auto& [server, load] : held) {
        if (const auto it = m_records.find(server); it != m_records.end())
            it->second.knowledge.peers -= load;
    }
    for (const auto& [server, load] : loads)
        m_records[server].knowledge.peers += load;
    if (loads.empty())
        m_peerLoads.erase(instance);
    else
        held = std::move(loads);
}

ActivePrefill ServerTracker::ownPrefill(std::uint64_t server) const
{
    const auto it = m_records.find(server);
    if (it == m_records.end() || it->second.waiting.empty())
        return {};
    auto oldest = it->second.waiting.begin()->second;
    // The engine began with it once the prompt before was done.
    oldest.observedAt = std::max(oldest.observedAt, it->second.knowledge.lastFirstByte);
    const auto now = m_clock.now();
    return { oldest.remaining(now), oldest.priority, now };
}

std::int32_t ServerTracker::prefillTokensAhead(std::uint64_t server, std::size_t rank) const
{
    const auto it = m_records.find(server);
    if (it == m_records.end())
        return 0;
    const auto now = m_clock.now();
    const auto own = ownPrefill(server);
    std::int32_t tokens = own.priority > rank ? own.tokens : 0;
    for (const auto& [instance, reading] : it->second.peersReading) {
        if (reading.priority > rank && now - reading.observedAt < readingNoteLife)
            tokens = std::max(tokens, reading.remaining(now));
    }
    return tokens;
}

void ServerTracker::setPeerPrefill(const InstanceId& instance, std::uint64_t server, ActivePrefill reading)
{
    auto& peers = m_records[server].peersReading;
    if (reading.tokens > 0)
        peers[instance] = reading;
    else
        peers.erase(instance);
}

void ServerTracker::remove(std::uint64_t server)
{
    const auto it = m_records.find(server);
    if (it == m_records.end() || it->second.knowledge.own.requests > 0)
        return;
    for (auto& [instance, loads] : m_peerLoads)
        loads.erase(server);
    m_records.erase(it);
}

std::vector<std::pair<std::uint64_t, ServerLoadSum>> ServerTracker::ownLoads() const
{
    std::vector<std::pair<std::uint64_t, ServerLoadSum>> loads;
    for (const auto& [server, record] : m_records) {
        if (record.knowledge.own.requests > 0)
            loads.emplace_back(server, record.knowledge.own);
    }
    return loads;
}

} // namespace yuccashift
