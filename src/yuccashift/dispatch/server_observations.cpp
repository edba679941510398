#include "yuccashift/dispatch/server_observations.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift {

namespace {

    /** Long enough for the phases of a few hundred milliseconds in which any server is slow, short enough to notice one that stays slow. */
    constexpr std::chrono::duration<double> halfLife = seconds(3);
    /** First bytes at which what was observed weighs as much as the mean of all servers. */
    constexpr double priorFirstBytes = 4;
    /** Bounds of a single report, so that one instance with a wrong clock or a cut link does not speak for all. */
    constexpr double maxReportedSamples = 200;
    constexpr double maxLogPace = 2;
    /** Servers of which reports are kept. */
    constexpr std::size_t maxReportedServers = 4096;

} // namespace

ServerObservations::ServerObservations(const Clock& clock)
    : m_clock(clock)
{
}

ServerObservations::Sums ServerObservations::aged(const Record& record) const
{
    const double factor = std::exp2(-(m_clock.now() - record.updatedAt) / halfLife);
    return { record.all.firstBytes * factor, record.all.logPaces * factor, record.all.outcomes * factor, record.all.failures * factor };
}

ServerObservations::Sums ServerObservations::current(std::uint64_t server) const
{
    const auto it = m_records.find(server);
    return it == m_records.end() ? Sums {} : aged(it->second);
}

ServerObservations::Record& ServerObservations::updated(std::uint64_t server)
{
    auto& record = m_records[server];
    record.all = aged(record);
    record.updatedAt = m_clock.now();
    return record;
}

void ServerObservations::onFirstByte(std::uint64_t server, double pace)
{
    if (pace <= 0)
        return;
    auto& record = updated(server);
    const double logPace = std::clamp(std::log(pace), -maxLogPace, maxLogPace);
    for (auto* sums : { &record.all, &record.unreported }) {
        sums->firstBytes += 1;
        sums->logPaces += logPace;
    }
}

void ServerObservations::onOutcome(std::uint64_t server, bool failed)
{
    auto& record = updated(server);
    for (auto* sums : { &record.all, &record.unreported }) {
        sums->outcomes += 1;
        sums->failures += failed ? 1 : 0;
    }
}

void ServerObservations::onReport(const ServerObservation& report)
{
    if (m_records.size() >= maxReportedServers && !m_records.contains(report.server))
        return;
    auto& all = updated(report.server).all;
    const double firstBytes = std::clamp(report.firstBytes, 0.0, maxReportedSamples);
    all.firstBytes += firstBytes;
    all.logPaces += firstBytes * std::clamp(report.meanLogPace, -maxLogPace, maxLogPace);
    const double outcomes = std::clamp(report.outcomes, 0.0, maxReportedSamples);
    all.outcomes += outcomes;
    all.failures += std::clamp(report.failures, 0.0, outcomes);
}

std::vector<ServerObservation> ServerObservations::takeOwn(std::size_t maxServers)
{
    std::vector<ServerObservation> own;
    for (const auto& [server, record] : m_records) {
        const auto& sums = record.unreported;
        if (sums.firstBytes + sums.outcomes > 0)
            own.push_back({ server, sums.firstBytes, sums.firstBytes > 0 ? sums.logPaces / sums.firstBytes : 0, sums.outcomes, sums.failures });
    }
    if (own.size() > maxServers) {
        std::ranges::partial_sort(own, own.begin() + static_cast<std::ptrdiff_t>(maxServers), std::ranges::greater {}, [](const auto& it) { return it.firstBytes + it.outcomes; });
        own.resize(maxServers);
    }
    for (const auto& it : own)
        m_records[it.server].unreported = {};
    return own;
}

void ServerObservations::remove(std::uint64_t server)
{
    m_records.erase(server);
}

double ServerObservations::pace(std::uint64_t server) const
{
    const auto sums = current(server);
    return std::exp(sums.logPaces / (sums.firstBytes + priorFirstBytes));
}

double ServerObservations::failureShare(std::uint64_t server) const
{
    const auto sums = current(server);
    return sums.outcomes > 0 ? sums.failures / sums.outcomes : 0;
}

double ServerObservations::outcomes(std::uint64_t server) const
{
    return current(server).outcomes;
}

} // namespace yuccashift
