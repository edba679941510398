#pragma once

#include "tests/support/mesh.hpp"
#include "yuccashift/membership/exchange.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace yuccashift::benchmarks {

/** Parameters of the simulated fleet. */
struct ControlFleet {
    /** Instances in the measured region. */
    std::size_t regionMembers = 50;
    std::size_t otherRegions = 23;
    /** Number of services for which each region sends a summary. */
    std::size_t servicesPerRegion = 10;
    /** Number of backend servers that each instance watches. */
    std::size_t watched = 32;
    /** Accepted document changes per second; `documentBytes` is the size of each document. */
    double changesPerSecond = 15000.0 / 86400;
    std::size_t documentBytes = 4096;
    /** Whether the configuration service answers in all regions, or only in the measured one. */
    bool allRegionsWatch = true;
    /** Virtual duration of the measurement, after the warm-up. */
    Duration measured = seconds(60);
};

/** Traffic per instance of the measured region, in bytes including the length prefix of frames. */
struct ControlTraffic {
    double sentPerSecond = 0;
    double receivedPerSecond = 0;
    /** Bytes sent and received by the busiest instance. */
    double busiestPerSecond = 0;
    double framesSentPerSecond = 0;
    /** Load entries received by one instance. */
    double loadsReceivedPerSecond = 0;
    /** Region summaries received by one instance. */
    double summariesReceivedPerSecond = 0;
    /** Processor time per instance and second in microseconds, including encoding and decoding. */
    double processorMicroseconds = 0;
    /** Maximum time until all instances hold a changed document, in milliseconds. */
    double slowestChangeMs = 0;
};

/** Supplies as many entries as each limit allows, to produce the maximum traffic. */
class FullExchange final : public LoadExchange, public SummaryExchange, public DemandExchange {
public:
    FullExchange(RegionName region, const ControlFleet& fleet)
        : m_region(std::move(region))
        , m_services(fleet.servicesPerRegion)
        , m_watched(fleet.watched)
    {
    }

    std::vector<wire::BackendLoad> takeLoads(Instant, std::size_t limit) override
    {
        std::vector<wire::BackendLoad> loads(std::min(limit, m_watched));
        for (auto& load : loads) {
            load.backend = nextHash();
            load.running = 12;
            load.waiting = 3;
            load.queuedTokens = 20000;
            load.ageMs = 400;
            load.decodeTokensPerSecond = 900;
        }
        return loads;
    }

    std::vector<wire::RegionSummary> ownSummaries(Instant) override
    {
        std::vector<wire::RegionSummary> summaries(m_services);
        for (std::size_t n = 0; n < m_services; ++n) {
            summaries[n].region = m_region;
            summaries[n].serviceName = "service-" + std::to_string(n);
            summaries[n].slots = 4000;
            summaries[n].busySlots = 3000;
            summaries[n].queueWaitMs = 250;
            summaries[n].ageMs = 100;
        }
        return summaries;
    }

    std::vector<wire::Demand> takeDemands(Instant, std::size_t limit) override { return demands(limit); }
    std::vector<wire::Demand> regionDemands(Instant, std::size_t limit) override { return demands(limit); }
    void onLoads(const InstanceId&, std::span<const wire::BackendLoad> loads, Instant) override { loadsReceived += loads.size(); }
    void onSummaries(std::span<const wire::RegionSummary> summaries, Instant) override { summariesReceived += summaries.size(); }
    void onDemands(const InstanceId&, std::span<const wire::Demand>, Instant) override { }
    void onRegionDemands(const RegionName&, std::span<const wire::Demand>, Duration, Instant) override { }

    std::size_t loadsReceived = 0;
    std::size_t summariesReceived = 0;

private:
    std::int64_t nextHash() { return static_cast<std::int64_t>(mix64(++m_count)); }

    std::vector<wire::Demand> demands(std::size_t limit)
    {
        std::vector<wire::Demand> demands(limit);
        for (auto& demand : demands) {
            demand.organisation = nextHash();
            demand.requestsPerSecond = 300;
            demand.tokensPerSecond = 60000;
        }
        return demands;
    }

    RegionName m_region;
    std::size_t m_services;
    std::size_t m_watched;
    std::uint64_t m_count = 0;
};

/** Runs a fleet under a virtual clock and measures the region named "largest". */
inline ControlTraffic measureControlTraffic(const ControlFleet& fleet)
{
    testing::Mesh mesh(7);
    std::vector<std::unique_ptr<FullExchange>> exchanges;
    const auto add = [&](const RegionName& region, std::size_t members) {
        for (std::size_t n = 0; n < members; ++n) {
            auto& exchange = exchanges.emplace_back(std::make_unique<FullExchange>(region, fleet));
            mesh.add(region + "-" + std::to_string(n), region, 1, { exchange.get(), exchange.get(), exchange.get(), nullptr });
        }
    };
    add("largest", fleet.regionMembers);
    for (std::size_t n = 0; n < fleet.otherRegions; ++n)
        add("region-" + std::to_string(n), 2);
    mesh.list();
    mesh.run(seconds(20));
    mesh.resetTraffic();
    for (auto& exchange : exchanges)
        *exchange = FullExchange(exchange->ownSummaries({}).front().region, fleet);

    ControlTraffic traffic;
    const auto wallStart = std::chrono::steady_clock::now();
    const auto start = mesh.now();
    double changes = 0;
    Revision revision = 0;
    while (mesh.now() - start < fleet.measured) {
        const std::chrono::duration<double> elapsed = mesh.now() - start;
        if (elapsed.count() * fleet.changesPerSecond < changes + 1) {
            mesh.run(milliseconds(100));
            continue;
        }
        changes += 1;
        ++revision;
        // The watchers of all regions receive a change at almost the same time.
        const auto text = testing::documentText("service", revision, fleet.documentBytes);
        for (const auto& [instance, node] : mesh.nodes()) {
            const bool watches = instance == node.info.region + "-0" || instance == node.info.region + "-1";
            const bool receivesChanges = fleet.allRegionsWatch || node.info.region == "largest";
            if (watches && receivesChanges)
                mesh.offer(instance, text);
        }
        const auto taken = mesh.runUntil([&] { return mesh.allHold("service", revision); }, seconds(30));
        traffic.slowestChangeMs = std::max(traffic.slowestChangeMs, static_cast<double>(toMilliseconds(taken)));
    }
    const std::chrono::duration<double, std::micro> wall = std::chrono::steady_clock::now() - wallStart;
    const std::chrono::duration<double> measured = mesh.now() - start;

    const auto members = static_cast<double>(fleet.regionMembers);
    for (const auto& [instance, node] : mesh.nodes()) {
        if (node.info.region != "largest")
            continue;
        const auto both = static_cast<double>(node.traffic.sentBytes + node.traffic.receivedBytes) / measured.count();
        traffic.busiestPerSecond = std::max(traffic.busiestPerSecond, both);
        traffic.sentPerSecond += static_cast<double>(node.traffic.sentBytes) / measured.count() / members;
        traffic.receivedPerSecond += static_cast<double>(node.traffic.receivedBytes) / measured.count() / members;
        traffic.framesSentPerSecond += static_cast<double>(node.traffic.sentFrames) / measured.count() / members;
    }
    for (std::size_t n = 0; n < fleet.regionMembers; ++n) {
        traffic.loadsReceivedPerSecond += static_cast<double>(exchanges[n]->loadsReceived) / measured.count() / members;
        traffic.summariesReceivedPerSecond += static_cast<double>(exchanges[n]->summariesReceived) / measured.count() / members;
    }
    traffic.processorMicroseconds = wall.count() / measured.count() / static_cast<double>(mesh.nodes().size());
    return traffic;
}

} // namespace yuccashift::benchmarks
