#include "yuccashift/dispatch/server_tracker.hpp"

#include <algorithm>
#include <utility>

namespace yuccashift {

namespace {

    /** Weight of the newest sample in running means, which cover about the last ten requests. */
    constexpr double sampleWeight = 0.1;
    /** Stream chunks arrive many times a second; the mean covers about the last twenty. */
    constexpr double chunkGapWeight = 0.05;
    /** Number of own samples at which a server's slowness weighs as much as that of all servers, and the maximum counted. */
    constexpr double priorSampleWeight = 4;
    constexpr std::uint32_t maxSlownessSamples = 20;
    /** Ratios outside these limits are outliers of single requests rather than the slowness of a server. */
    constexpr double minSlownessRatio = 0.3;
    constexpr double maxSlownessRatio = 6.0;
    /** A server's limit is tried out again after this time, since what it takes may have grown. */
    constexpr Duration requestLimitLifetime = seconds(5);
    /** Shorter predictions say little about the slowness. */
    constexpr Duration minComparablePrediction = milliseconds(20);

    /** Outcomes from which an owner reports a share of failures, and the share from which it reports an idle server. */
    constexpr std::uint32_t minReportedOutcomes = 4;
    constexpr double reportedFailureShare = 0.2;

    /** Prompt tokens that an engine prefills in a millisecond while nothing else runs. */
    constexpr double soloPrefillTokensPerMs = 75.0;
    /** Age from which the prefills that other instances reported are ignored. */
    constexpr Duration peerPrefillLifetime = milliseconds(1500);

    double runningMean(double mean, double sample)
    {
        return mean + sampleWeight * (sample - mean);
    }

} // namespace

std::int32_t ActivePrefill::remaining(Instant now) const
{
    const auto elapsed = std::chrono::duration<double, std::milli>(now - observedAt).count();
    return std::max(0, tokens - static_cast<std::int32_t>(elapsed * soloPrefillTokensPerMs));
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
    , m_constraints(clock)
    , m_observations(clock)
{
    for (auto& perPriority : m_overallSlowness)
        perPriority.fill(1.0);
}

const ServerStatus& ServerTracker::statusOf(std::uint64_t server) const
{
    static const ServerStatus unknown;
    const auto it = m_records.find(server);
    return it == m_records.end() ? unknown : it->second.status;
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
    ticket.slots = send.slots;
    ticket.sentAt = m_clock.now();
    ticket.unscaledPrediction = std::chrono::duration_cast<Duration>(send.predicted / send.slowness);
    ticket.engine = send.engine;
    auto& record = m_records[server];
    record.removed = false;
    auto& status = record.status;
    status.own += ticket.load;
    record.pending.emplace(ticket.sentAt, ActivePrefill { static_cast<std::int32_t>(send.uncachedTokens), ticket.priority, ticket.sentAt });
    status.waitingSince = record.pending.begin()->first;
    if (!send.work.parts.empty()) {
        if (!record.prefixes)
            record.prefixes.emplace(send.memoryTokens);
        record.prefixes->onPrefill(send.work.parts, m_maxPrefixParts / m_records.size());
    }
    return ticket;
}

double ServerTracker::expectedSlowness(std::uint64_t server, bool engine, std::size_t priority) const
{
    const auto index = std::min(priority, priorityLevels - 1);
    const auto& status = statusOf(server);
    const double samples = status.slownessSamples[index];
    const auto& report = status.ownerReport;
    if (samples == 0 && report && report->slowness[index] > 0 && m_clock.now() - report->receivedAt < ownerReportLifetime)
        return report->slowness[index];
    return (status.slowness[index] * samples + m_overallSlowness[engine ? 1 : 0][index] * priorSampleWeight) / (samples + priorSampleWeight);
}

double ServerTracker::sharedSlowness(std::uint64_t server, bool engine, std::size_t priority) const
{
    return m_overallSlowness[engine ? 1 : 0][std::min(priority, priorityLevels - 1)] * m_observations.pace(server);
}

void ServerTracker::removePending(Record& record, const RequestTicket& ticket)
{
    if (const auto it = record.pending.find(ticket.sentAt); it != record.pending.end())
        record.pending.erase(it);
    record.status.waitingSince.reset();
    if (!record.pending.empty())
        record.status.waitingSince = record.pending.begin()->first;
}

void ServerTracker::onFirstByte(RequestTicket& ticket)
{
    const auto it = m_records.find(ticket.server);
    if (ticket.firstByteSeen || it == m_records.end())
        return;
    ticket.firstByteSeen = true;
    auto& status = it->second.status;
    status.own.waitingPromptTokens[ticket.priority] -= ticket.load.waitingPromptTokens[ticket.priority];
    ticket.load.waitingPromptTokens[ticket.priority] = 0;
    removePending(it->second, ticket);
    status.lastFirstByte = m_clock.now();
    if (ticket.unscaledPrediction < minComparablePrediction)
        return;
    const auto took = std::chrono::duration<double>(m_clock.now() - ticket.sentAt);
    const auto ratio = std::clamp(took / std::chrono::duration<double>(ticket.unscaledPrediction), minSlownessRatio, maxSlownessRatio);
    auto& samples = status.slownessSamples[ticket.priority];
    auto& slowness = status.slowness[ticket.priority];
    slowness = samples == 0 ? ratio : runningMean(slowness, ratio);
    samples = std::min(samples + 1, maxSlownessSamples);
    auto& overall = m_overallSlowness[ticket.engine ? 1 : 0][ticket.priority];
    m_observations.onFirstByte(ticket.server, ratio / overall);
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
    auto& status = it->second.status;
    const auto gap = now - before;
    status.lastChunkAt = now;
    status.streamChunkGap = status.streamChunkGap == Duration::zero() ? gap : status.streamChunkGap + std::chrono::duration_cast<Duration>(chunkGapWeight * (gap - status.streamChunkGap));
}

void ServerTracker::onComplete(RequestTicket& ticket, ServerOutcome outcome)
{
    const auto server = ticket.server;
    const auto it = m_records.find(server);
    if (server == 0 || it == m_records.end())
        return;
    auto& status = it->second.status;
    status.own -= ticket.load;
    if (!ticket.firstByteSeen)
        removePending(it->second, ticket);
    ticket.server = 0;
    if (it->second.removed && status.own.requests <= 0)
        return remove(server);
    if (outcome == ServerOutcome::Rejected) {
        status.requestLimit = std::max(static_cast<std::int32_t>(ticket.slots), status.total().requests);
        status.requestLimitUntil = m_clock.now() + requestLimitLifetime;
    }
    if (outcome == ServerOutcome::Abandoned || outcome == ServerOutcome::Rejected)
        return;
    ++status.outcomeSamples;
    m_observations.onOutcome(server, outcome != ServerOutcome::Succeeded);
    status.failureShare = runningMean(status.failureShare, outcome == ServerOutcome::Succeeded ? 0.0 : 1.0);
}

void ServerTracker::clearSuspect(std::uint64_t server)
{
    const auto it = m_records.find(server);
    if (it == m_records.end())
        return;
    it->second.status.suspect = false;
    it->second.status.failureShare = 0;
    it->second.status.outcomeSamples = 0;
}

void ServerTracker::markSuspect(std::uint64_t server)
{
    auto& status = m_records[server].status;
    if (!status.suspect)
        status.suspectSince = m_clock.now();
    status.suspect = true;
}

void ServerTracker::recordProbe(std::uint64_t server)
{
    m_records[server].status.lastProbe = m_clock.now();
}

void ServerTracker::recordColdSend(std::uint64_t server)
{
    m_records[server].status.lastColdSend = m_clock.now();
}

void ServerTracker::markFull(std::uint64_t server, Duration wait)
{
    m_records[server].status.fullUntil = m_clock.now() + wait;
}

void ServerTracker::setPeerLoads(const InstanceId& instance, std::map<std::uint64_t, ServerLoadSum> loads)
{
    auto& previous = m_peerLoads[instance];
    for (const auto& [server, load] : previous) {
        if (const auto it = m_records.find(server); it != m_records.end())
            it->second.status.peers -= load;
    }
    for (const auto& [server, load] : loads)
        m_records[server].status.peers += load;
    if (loads.empty())
        m_peerLoads.erase(instance);
    else
        previous = std::move(loads);
}

ActivePrefill ServerTracker::ownPrefill(std::uint64_t server) const
{
    const auto it = m_records.find(server);
    if (it == m_records.end() || it->second.pending.empty())
        return {};
    auto oldest = it->second.pending.begin()->second;
    // The engine began this prefill when the previous prompt was finished.
    oldest.observedAt = std::max(oldest.observedAt, it->second.status.lastFirstByte);
    const auto now = m_clock.now();
    return { oldest.remaining(now), oldest.priority, now };
}

std::int32_t ServerTracker::prefillTokensAhead(std::uint64_t server, std::size_t priority) const
{
    const auto it = m_records.find(server);
    if (it == m_records.end())
        return 0;
    const auto now = m_clock.now();
    const auto own = ownPrefill(server);
    std::int32_t tokens = own.priority > priority ? own.tokens : 0;
    for (const auto& [instance, prefill] : it->second.peerPrefills) {
        if (prefill.priority > priority && now - prefill.observedAt < peerPrefillLifetime)
            tokens = std::max(tokens, prefill.remaining(now));
    }
    return tokens;
}

void ServerTracker::setPeerPrefill(const InstanceId& instance, std::uint64_t server, ActivePrefill prefill)
{
    auto& peers = m_records[server].peerPrefills;
    if (prefill.tokens > 0)
        peers[instance] = prefill;
    else
        peers.erase(instance);
}

void ServerTracker::remove(std::uint64_t server)
{
    m_constraints.remove(server);
    m_observations.remove(server);
    const auto it = m_records.find(server);
    if (it == m_records.end())
        return;
    it->second.removed = true;
    if (it->second.status.own.requests > 0)
        return;
    for (auto& [instance, loads] : m_peerLoads)
        loads.erase(server);
    m_records.erase(it);
}

std::vector<std::pair<std::uint64_t, ServerLoadSum>> ServerTracker::ownLoads() const
{
    std::vector<std::pair<std::uint64_t, ServerLoadSum>> loads;
    for (const auto& [server, record] : m_records) {
        const auto& status = record.status;
        if (status.own.requests > 0 || status.suspect || status.failureShare > reportedFailureShare)
            loads.emplace_back(server, status.own);
    }
    return loads;
}

OwnerReport ServerTracker::observedHealth(std::uint64_t server) const
{
    const auto& status = statusOf(server);
    OwnerReport report;
    for (std::size_t i = 0; i < priorityLevels; ++i)
        report.slowness[i] = status.slownessSamples[i] > 0 ? status.slowness[i] : 0;
    report.suspect = status.suspect;
    report.failureShare = status.outcomeSamples >= minReportedOutcomes ? status.failureShare : 0;
    return report;
}

void ServerTracker::setOwnerReports(const InstanceId& instance, const std::map<std::uint64_t, OwnerReport>& reports)
{
    for (const auto server : m_reportedServers[instance]) {
        if (const auto it = m_records.find(server); it != m_records.end())
            it->second.status.ownerReport.reset();
    }
    auto& reported = m_reportedServers[instance];
    reported.clear();
    for (const auto& [server, report] : reports) {
        m_records[server].status.ownerReport = report;
        reported.push_back(server);
    }
    if (reported.empty())
        m_reportedServers.erase(instance);
}

} // namespace yuccashift
