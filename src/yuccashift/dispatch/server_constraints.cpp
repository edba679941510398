#include "yuccashift/dispatch/server_constraints.hpp"

#include "yuccashift/kernel/log.hpp"
#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift {

namespace {

    /** Share of a limit that is used; the rest is for health probes and instances that have not heard of the limit. */
    constexpr double usableLimitShare = 0.9;
    /** Instances that share a limit in addition to its requests per second. */
    constexpr std::size_t minParticipants = 2;
    /** Instances with the same limit report for this long that it was withdrawn. */
    constexpr Duration withdrawalReportTime = seconds(10);
    /** A server whose entry is missing for longer than this does not return under the same start. */
    constexpr Duration memoryAfterRemoval = std::chrono::minutes(5);
    /** Bounds the heartbeat's size if many servers name limits at once. */
    constexpr std::size_t maxReports = 48;
    /** At a lower rate, a request is sent now and then all the same: only an answer shows that the limit has ended. */
    constexpr double minRequestsPerSecond = 0.05;

    Duration intervalOf(double requestsPerSecond)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / requestsPerSecond));
    }

} // namespace

ServerConstraints::ServerConstraints(const Clock& clock)
    : m_clock(clock)
{
}

const ServerConstraints::Entry* ServerConstraints::find(std::uint64_t server) const
{
    const auto it = m_entries.find(server);
    return it == m_entries.end() ? nullptr : &it->second;
}

void ServerConstraints::setLimit(Entry& entry, std::uint64_t server, std::optional<double> requestsPerSecond)
{
    if (entry.requestsPerSecond == requestsPerSecond)
        return;
    if (requestsPerSecond)
        logInfo("server names a rate limit", { { "server", server }, { "requests_per_second", *requestsPerSecond } });
    else
        logInfo("server names no rate limit any more", { { "server", server } });
    // The request of this answer counts, so that no burst follows the first naming of a limit.
    if (!entry.requestsPerSecond)
        entry.lastSend = m_clock.now();
    entry.requestsPerSecond = requestsPerSecond;
}

void ServerConstraints::setBearableRejections(Entry& entry, std::uint64_t server, std::optional<double> perSecond)
{
    if (entry.bearableRejections.has_value() != perSecond.has_value())
        logInfo(perSecond ? "server is brittle" : "server is not brittle any more", { { "server", server }, { "bearable_rejections_per_second", perSecond.value_or(0) } });
    entry.bearableRejections = perSecond;
}

bool ServerConstraints::onAnswer(std::uint64_t server, const ServerStatement& statement)
{
    const auto now = m_clock.now();
    const bool asksForSomething = statement.requestsPerSecond || statement.leaving || statement.restFor > Duration::zero() || statement.bearableRejections;
    if (!asksForSomething && !m_entries.contains(server))
        return false;
    auto& entry = m_entries[server];
    setLimit(entry, server, statement.requestsPerSecond);
    setBearableRejections(entry, server, statement.bearableRejections);
    entry.statedAt = now;
    entry.fromOwnAnswer = true;
    if (statement.restFor > Duration::zero()) {
        logInfo("server wants no requests for a while", { { "server", server }, { "rest_ms", toMilliseconds(statement.restFor) } });
        entry.restUntil = std::max(entry.restUntil, now + statement.restFor);
    }
    // An answer that was on its way when the server decided to leave does not say so, which withdraws nothing.
    const bool isNews = statement.leaving && !entry.leaving;
    if (isNews)
        logInfo("server leaves, as its answer says", { { "server", server } });
    entry.leaving = entry.leaving || statement.leaving;
    return isNews;
}

void ServerConstraints::onReport(const ConstraintReport& report)
{
    const auto now = m_clock.now();
    const auto& statement = report.statement;
    if (!m_entries.contains(report.server) && !statement.requestsPerSecond && !statement.leaving && statement.restFor <= Duration::zero() && !statement.bearableRejections)
        return;
    auto& entry = m_entries[report.server];
    entry.leaving = entry.leaving || statement.leaving;
    entry.restUntil = std::max(entry.restUntil, now + statement.restFor);
    const auto statedAt = now - report.age;
    if (statedAt <= entry.statedAt)
        return;
    setLimit(entry, report.server, statement.requestsPerSecond);
    setBearableRejections(entry, report.server, statement.bearableRejections);
    entry.statedAt = statedAt;
    entry.fromOwnAnswer = false;
}

void ServerConstraints::onSend(std::uint64_t server)
{
    if (const auto it = m_entries.find(server); it != m_entries.end())
        it->second.lastSend = m_clock.now();
}

std::optional<double> ServerConstraints::rateLimit(std::uint64_t server) const
{
    const auto* entry = find(server);
    return entry ? entry->requestsPerSecond : std::nullopt;
}

bool ServerConstraints::maySend(std::uint64_t server, double requestsPerSecond) const
{
    const auto* entry = find(server);
    if (!entry || !entry->requestsPerSecond)
        return true;
    return requestsPerSecond > 0 && m_clock.now() - entry->lastSend >= intervalOf(requestsPerSecond);
}

bool ServerConstraints::isLeaving(std::uint64_t server) const
{
    const auto* entry = find(server);
    return entry && entry->leaving;
}

std::optional<double> ServerConstraints::bearableRejections(std::uint64_t server) const
{
    const auto* entry = find(server);
    return entry ? entry->bearableRejections : std::nullopt;
}

Duration ServerConstraints::restFor(std::uint64_t server) const
{
    const auto* entry = find(server);
    return entry ? std::max(Duration::zero(), entry->restUntil - m_clock.now()) : Duration::zero();
}

std::vector<ConstraintReport> ServerConstraints::reports() const
{
    const auto now = m_clock.now();
    std::vector<ConstraintReport> reports;
    for (const auto& [server, entry] : m_entries) {
        const auto age = now - entry.statedAt;
        const bool inForce = entry.requestsPerSecond || entry.leaving || entry.restUntil > now || entry.bearableRejections;
        if (entry.fromOwnAnswer && !entry.removedAt && (inForce || age < withdrawalReportTime))
            reports.push_back({ server, { entry.requestsPerSecond, entry.leaving, std::max(Duration::zero(), entry.restUntil - now), entry.bearableRejections }, age });
    }
    std::ranges::sort(reports, {}, [](const auto& it) { return std::pair(it.age, it.server); });
    if (reports.size() > maxReports)
        reports.resize(maxReports);
    return reports;
}

void ServerConstraints::remove(std::uint64_t server)
{
    const auto now = m_clock.now();
    std::erase_if(m_entries, [&](const auto& it) { return it.second.removedAt && now - *it.second.removedAt >= memoryAfterRemoval; });
    if (const auto it = m_entries.find(server); it != m_entries.end() && !it->second.removedAt)
        it->second.removedAt = now;
}

double shareOfRateLimit(double limit, std::uint64_t server, const LimitDivision& division)
{
    const auto bearable = minParticipants + static_cast<std::size_t>(std::min(limit, static_cast<double>(division.known)));
    const auto participants = std::clamp<std::size_t>(division.known, 1, bearable);
    const auto chosen = rendezvousTop(server, division.active, participants);
    if (std::ranges::find(chosen, division.self) == chosen.end())
        return 0;
    return usableLimitShare * std::max(limit, minRequestsPerSecond) / static_cast<double>(participants);
}

} // namespace yuccashift
