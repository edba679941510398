#include "yuccashift/dispatch/server_book.hpp"

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

std::int32_t ReadingPrompt::remaining(Instant now) const
{
    const auto elapsed = std::chrono::duration<double, std::milli>(now - notedAt).count();
    return std::max(0, tokens - static_cast<std::int32_t>(elapsed * readingTokensPerMs));
}

ServerLoadSum& ServerLoadSum::operator+=(const ServerLoadSum& other)
{
    requests += other.requests;
    for (std::size_t i = 0; i < urgencyRanks; ++i)
        waitingPromptTokens[i] += other.waitingPromptTokens[i];
    memoryTokens += other.memoryTokens;
    return *this;
}

ServerLoadSum& ServerLoadSum::operator-=(const ServerLoadSum& other)
{
    requests -= other.requests;
    for (std::size_t i = 0; i < urgencyRanks; ++i)
        waitingPromptTokens[i] -= other.waitingPromptTokens[i];
    memoryTokens -= other.memoryTokens;
    return *this;
}

ServerLoadSum ServerKnowledge::total() const
{
    auto sum = own;
    sum += peers;
    return sum;
}

ServerBook::ServerBook(const Clock& clock)
    : m_clock(clock)
{
    for (auto& ranks : m_overall)
        ranks.fill(1.0);
}

const ServerKnowledge& ServerBook::of(std::uint64_t server) const
{
    static const ServerKnowledge unknown;
    const auto it = m_records.find(server);
    return it == m_records.end() ? unknown : it->second.knowledge;
}

const PrefixMemory* ServerBook::prefixes(std::uint64_t server) const
{
    const auto it = m_records.find(server);
    return it == m_records.end() || !it->second.prefixes ? nullptr : &*it->second.prefixes;
}

ServerTicket ServerBook::begin(std::uint64_t server, const ServerSend& send)
{
    ServerTicket ticket;
    ticket.server = server;
    ticket.rank = std::min(send.work.rank, urgencyRanks - 1);
    ticket.load.requests = 1;
    ticket.load.waitingPromptTokens[ticket.rank] = static_cast<std::int32_t>(send.uncachedTokens);
    ticket.load.memoryTokens = static_cast<std::int32_t>(send.work.memoryTokens());
    ticket.sentAt = m_clock.now();
    ticket.unscaled = std::chrono::duration_cast<Duration>(send.predicted / send.slowness);
    ticket.engine = send.engine;
    auto& record = m_records[server];
    auto& known = record.knowledge;
    known.own += ticket.load;
    record.waiting.emplace(ticket.sentAt, ReadingPrompt { static_cast<std::int32_t>(send.uncachedTokens), ticket.rank, ticket.sentAt });
    known.waitingSince = record.waiting.begin()->first;
    if (!send.work.parts.empty()) {
        if (!record.prefixes)
            record.prefixes.emplace(send.memoryTokens);
        record.prefixes->remember(send.work.parts);
    }
    return ticket;
}

double ServerBook::slownessOf(std::uint64_t server, bool engine, std::size_t rank) const
{
    const auto at = std::min(rank, urgencyRanks - 1);
    const auto& known = of(server);
    const double samples = known.paceSamples[at];
    return (known.slowness[at] * samples + m_overall[engine ? 1 : 0][at] * samplesToTrust) / (samples + samplesToTrust);
}

void ServerBook::stopWaiting(Record& record, const ServerTicket& ticket)
{
    if (const auto it = record.waiting.find(ticket.sentAt); it != record.waiting.end())
        record.waiting.erase(it);
    record.knowledge.waitingSince.reset();
    if (!record.waiting.empty())
        record.knowledge.waitingSince = record.waiting.begin()->first;
}

void ServerBook::firstByte(ServerTicket& ticket)
{
    const auto it = m_records.find(ticket.server);
    if (ticket.firstByteSeen || it == m_records.end())
        return;
    ticket.firstByteSeen = true;
    auto& known = it->second.knowledge;
    known.own.waitingPromptTokens[ticket.rank] -= ticket.load.waitingPromptTokens[ticket.rank];
    ticket.load.waitingPromptTokens[ticket.rank] = 0;
    stopWaiting(it->second, ticket);
    known.lastFirstByte = m_clock.now();
    if (ticket.unscaled < leastComparable)
        return;
    const auto took = std::chrono::duration<double>(m_clock.now() - ticket.sentAt);
    const auto ratio = std::clamp(took / std::chrono::duration<double>(ticket.unscaled), leastRatio, mostRatio);
    auto& samples = known.paceSamples[ticket.rank];
    auto& slowness = known.slowness[ticket.rank];
    slowness = samples == 0 ? ratio : runningMean(slowness, ratio);
    samples = std::min(samples + 1, mostPaceSamples);
    auto& overall = m_overall[ticket.engine ? 1 : 0][ticket.rank];
    overall = runningMean(overall, ratio);
}

void ServerBook::streamPart(ServerTicket& ticket)
{
    const auto it = m_records.find(ticket.server);
    if (it == m_records.end())
        return;
    const auto now = m_clock.now();
    const auto before = std::exchange(ticket.lastPart, now);
    if (before == Instant {})
        return;
    auto& known = it->second.knowledge;
    const auto gap = now - before;
    known.lastPart = now;
    known.partGap = known.partGap == Duration::zero() ? gap : known.partGap + std::chrono::duration_cast<Duration>(partWeight * (gap - known.partGap));
}

void ServerBook::end(ServerTicket& ticket, ServerOutcome outcome)
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
    ++known.samples;
    known.failureShare = runningMean(known.failureShare, outcome == ServerOutcome::Succeeded ? 0.0 : 1.0);
}

void ServerBook::clearSuspicion(std::uint64_t server)
{
    const auto it = m_records.find(server);
    if (it == m_records.end())
        return;
    it->second.knowledge.suspect = false;
    it->second.knowledge.failureShare = 0;
    it->second.knowledge.samples = 0;
}

void ServerBook::markSuspect(std::uint64_t server)
{
    auto& known = m_records[server].knowledge;
    if (!known.suspect)
        known.suspectSince = m_clock.now();
    known.suspect = true;
}

void ServerBook::noteProbe(std::uint64_t server)
{
    m_records[server].knowledge.lastProbe = m_clock.now();
}

void ServerBook::noteColdSend(std::uint64_t server)
{
    m_records[server].knowledge.lastColdSend = m_clock.now();
}

void ServerBook::noteFull(std::uint64_t server, Duration wait)
{
    m_records[server].knowledge.fullUntil = m_clock.now() + wait;
}

void ServerBook::setPeerLoads(const InstanceId& instance, std::map<std::uint64_t, ServerLoadSum> loads)
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

ReadingPrompt ServerBook::ownReading(std::uint64_t server) const
{
    const auto it = m_records.find(server);
    if (it == m_records.end() || it->second.waiting.empty())
        return {};
    auto oldest = it->second.waiting.begin()->second;
    // The engine began with it once the prompt before was done.
    oldest.notedAt = std::max(oldest.notedAt, it->second.knowledge.lastFirstByte);
    const auto now = m_clock.now();
    return { oldest.remaining(now), oldest.rank, now };
}

std::int32_t ServerBook::tokensAheadOfRank(std::uint64_t server, std::size_t rank) const
{
    const auto it = m_records.find(server);
    if (it == m_records.end())
        return 0;
    const auto now = m_clock.now();
    const auto own = ownReading(server);
    std::int32_t tokens = own.rank > rank ? own.tokens : 0;
    for (const auto& [instance, reading] : it->second.peersReading) {
        if (reading.rank > rank && now - reading.notedAt < readingNoteLife)
            tokens = std::max(tokens, reading.remaining(now));
    }
    return tokens;
}

void ServerBook::setPeerReading(const InstanceId& instance, std::uint64_t server, ReadingPrompt reading)
{
    auto& peers = m_records[server].peersReading;
    if (reading.tokens > 0)
        peers[instance] = reading;
    else
        peers.erase(instance);
}

void ServerBook::forget(std::uint64_t server)
{
    const auto it = m_records.find(server);
    if (it == m_records.end() || it->second.knowledge.own.requests > 0)
        return;
    for (auto& [instance, loads] : m_peerLoads)
        loads.erase(server);
    m_records.erase(it);
}

std::vector<std::pair<std::uint64_t, ServerLoadSum>> ServerBook::ownLoads() const
{
    std::vector<std::pair<std::uint64_t, ServerLoadSum>> loads;
    for (const auto& [server, record] : m_records) {
        if (record.knowledge.own.requests > 0)
            loads.emplace_back(server, record.knowledge.own);
    }
    return loads;
}

} // namespace yuccashift
