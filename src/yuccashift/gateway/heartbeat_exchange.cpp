#include "yuccashift/gateway/heartbeat_exchange.hpp"

#include "peer_types.h"
#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/kernel/hash.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift {

namespace {

    std::int64_t hashOf(const BackendKey& key)
    {
        const std::array<std::string_view, 2> names { key.service, key.backend };
        return static_cast<std::int64_t>(hash64(names));
    }

    std::int32_t toInt(double value)
    {
        return static_cast<std::int32_t>(std::clamp(std::round(value), 0.0, 2e9));
    }

    wire::BackendLoad toWire(std::int64_t hash, const LoadReport& report, Duration age)
    {
        wire::BackendLoad load;
        load.backend = hash;
        load.running = static_cast<std::int32_t>(report.running);
        load.waiting = static_cast<std::int32_t>(report.waiting);
        load.queuedTokens = toInt(static_cast<double>(report.queuedTokens));
        load.ageMs = static_cast<std::int32_t>(toMilliseconds(age));
        load.decodeTokensPerSecond = toInt(report.decodeTokensPerSecond);
        load.leaving = report.leaving;
        return load;
    }

    LoadReport fromWire(const wire::BackendLoad& load)
    {
        LoadReport report;
        report.running = static_cast<std::uint32_t>(std::max(load.running, 0));
        report.waiting = static_cast<std::uint32_t>(std::max(load.waiting, 0));
        report.queuedTokens = static_cast<std::uint64_t>(std::max(load.queuedTokens, 0));
        report.decodeTokensPerSecond = load.decodeTokensPerSecond;
        report.leaving = load.leaving;
        return report;
    }

    wire::Demand toWire(const DemandRate& rate)
    {
        wire::Demand demand;
        demand.organisation = rate.key;
        // Rounded up, so that a small demand does not become 0, which means no demand.
        demand.requestsPerSecond = toInt(std::ceil(rate.requestsPerSecond));
        demand.tokensPerSecond = toInt(std::ceil(rate.tokensPerSecond));
        return demand;
    }

    std::vector<DemandRate> fromWire(std::span<const wire::Demand> demands)
    {
        std::vector<DemandRate> rates;
        for (const auto& demand : demands)
            rates.push_back({ demand.organisation, static_cast<double>(demand.requestsPerSecond), static_cast<double>(demand.tokensPerSecond) });
        return rates;
    }

} // namespace

HeartbeatExchange::HeartbeatExchange(GatewayComponents& components)
    : m_components(components)
{
}

void HeartbeatExchange::onOwnReport(const BackendKey& backend, const LoadReport& report, Instant takenAt)
{
    const std::lock_guard lock(m_mutex);
    m_reports[hashOf(backend)] = { backend, report, takenAt, false };
}

std::vector<wire::BackendLoad> HeartbeatExchange::takeLoads(Instant now, std::size_t limit)
{
    const std::lock_guard lock(m_mutex);
    std::vector<wire::BackendLoad> loads;
    // Continues after the last report sent, so that every report is sent in turn despite the limit.
    auto it = m_reports.upper_bound(m_lastSent);
    for (std::size_t n = 0; n < m_reports.size() && loads.size() < limit; ++n) {
        if (it == m_reports.end())
            it = m_reports.begin();
        if (!it->second.sent) {
            loads.push_back(toWire(it->first, it->second.report, now - it->second.takenAt));
            it->second.sent = true;
            m_lastSent = it->first;
        }
        ++it;
    }
    return loads;
}

const BackendKey* HeartbeatExchange::findBackend(std::int64_t hash)
{
    const auto documents = m_components.documents.snapshot();
    if (documents->generation != m_documentsGeneration) {
        m_documentsGeneration = documents->generation;
        m_backendsByHash.clear();
        for (const auto& [service, stored] : documents->documents) {
            for (const auto& backend : stored.document->backends)
                m_backendsByHash.emplace(hashOf({ service, backend.name }), BackendKey { service, backend.name });
        }
    }
    const auto it = m_backendsByHash.find(hash);
    return it == m_backendsByHash.end() ? nullptr : &it->second;
}

void HeartbeatExchange::onLoads(const InstanceId&, std::span<const wire::BackendLoad> loads, Instant now)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& load : loads) {
        if (const auto* backend = findBackend(load.backend))
            m_components.loadTracker.onReport(*backend, fromWire(load), now - milliseconds(std::max(load.ageMs, 0)));
    }
}

std::vector<wire::RegionSummary> HeartbeatExchange::ownSummaries(Instant now)
{
    std::vector<wire::RegionSummary> summaries;
    for (const auto& document : m_components.documents.activeDocuments()) {
        const auto load = aggregateLoad(m_components.backendStates(*document, {}), now);
        if (load.slots == 0)
            continue;
        wire::RegionSummary summary;
        summary.region = m_components.settings.region;
        summary.serviceName = document->service;
        summary.slots = static_cast<std::int32_t>(load.slots);
        summary.busySlots = static_cast<std::int32_t>(load.busySlots);
        summary.queueWaitMs = static_cast<std::int32_t>(toMilliseconds(load.queueWait));
        summary.ageMs = 0;
        summary.meanServiceMs = static_cast<std::int32_t>(toMilliseconds(load.meanServiceTime));
        summaries.push_back(std::move(summary));
    }
    return summaries;
}

void HeartbeatExchange::onSummaries(std::span<const wire::RegionSummary> summaries, Instant now)
{
    for (const auto& summary : summaries) {
        RegionLoad load;
        load.slots = static_cast<std::uint32_t>(std::max(summary.slots, 0));
        load.busySlots = static_cast<std::uint32_t>(std::max(summary.busySlots, 0));
        load.queueWait = milliseconds(summary.queueWaitMs);
        load.meanServiceTime = milliseconds(summary.meanServiceMs);
        m_components.regionLoadTracker.onSummary(summary.region, summary.serviceName, load, now - milliseconds(std::max(summary.ageMs, 0)));
    }
}

std::vector<wire::Demand> HeartbeatExchange::takeDemands(Instant now, std::size_t limit)
{
    std::vector<wire::Demand> demands;
    for (const auto& rate : m_components.limits.takeDemands(limit, now))
        demands.push_back(toWire(rate));
    return demands;
}

std::vector<wire::Demand> HeartbeatExchange::regionDemands(Instant now, std::size_t limit)
{
    std::map<std::int64_t, wire::Demand> sums;
    const auto add = [&](const wire::Demand& demand) {
        auto& sum = sums[demand.organisation];
        sum.organisation = demand.organisation;
        sum.requestsPerSecond += demand.requestsPerSecond;
        sum.tokensPerSecond += demand.tokensPerSecond;
    };
    for (const auto& rate : m_components.limits.largestDemands(limit, now))
        add(toWire(rate));
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [instance, demands] : m_peerDemands) {
            for (const auto& [key, demand] : demands)
                add(demand);
        }
    }
    std::vector<wire::Demand> largest;
    largest.reserve(sums.size());
    for (const auto& [key, sum] : sums)
        largest.push_back(sum);
    std::ranges::sort(largest, std::greater {}, &wire::Demand::requestsPerSecond);
    largest.resize(std::min(largest.size(), limit));
    return largest;
}

void HeartbeatExchange::onDemands(const InstanceId& from, std::span<const wire::Demand> demands, Instant now)
{
    m_components.limits.onPeerDemand(from, fromWire(demands), now);
    const std::lock_guard lock(m_mutex);
    // A heartbeat carries only some demands; those of other organisations stay as last received.
    auto& known = m_peerDemands[from];
    for (const auto& demand : demands) {
        if (demand.requestsPerSecond > 0)
            known.insert_or_assign(demand.organisation, demand);
        else
            known.erase(demand.organisation);
    }
}

void HeartbeatExchange::onRegionDemands(const RegionName& region, std::span<const wire::Demand> demands, Duration, Instant now)
{
    if (region != m_components.settings.region)
        m_components.limits.onPeerDemand(regionPeer(region), fromWire(demands), now);
}

InstanceId HeartbeatExchange::regionPeer(const RegionName& region)
{
    return "region/" + region;
}

} // namespace yuccashift
