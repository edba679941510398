#pragma once

#include "yuccashift/membership/exchange.hpp"
#include "yuccashift/ports/engine_control.hpp"
#include "yuccashift/routing/backend_key.hpp"

#include <map>
#include <mutex>
#include <unordered_map>

namespace yuccashift {

struct GatewayComponents;

/**
 * Fills heartbeats with this instance's load reports, region summaries and
 * demands, and applies those of other instances to the load trackers and the
 * shared limits. Thread safe under one lock.
 */
class HeartbeatExchange final : public LoadExchange, public SummaryExchange, public DemandExchange {
public:
    explicit HeartbeatExchange(GatewayComponents&);

    /** Records a load report that this instance fetched, to be sent to the other instances. */
    void onOwnReport(const BackendKey&, const LoadReport&, Instant takenAt);

    std::vector<wire::BackendLoad> takeLoads(Instant now, std::size_t limit) override;
    void onLoads(const InstanceId& from, std::span<const wire::BackendLoad>, Instant now) override;
    std::vector<wire::RegionSummary> ownSummaries(Instant now) override;
    void onSummaries(std::span<const wire::RegionSummary>, Instant now) override;
    std::vector<wire::Demand> takeDemands(Instant now, std::size_t limit) override;
    std::vector<wire::Demand> regionDemands(Instant now, std::size_t limit) override;
    void onDemands(const InstanceId& from, std::span<const wire::Demand>, Instant now) override;
    void onRegionDemands(const RegionName&, std::span<const wire::Demand>, Duration age, Instant now) override;

    /** Name under which SharedLimits holds the summed demands of a region, beside those of instances. */
    static InstanceId regionPeer(const RegionName&);

private:
    struct OwnReport {
        BackendKey backend;
        LoadReport report;
        Instant takenAt;
        bool sent = false;
    };

    const BackendKey* findBackend(std::int64_t hash);

    GatewayComponents& m_components;
    std::mutex m_mutex;
    std::map<std::int64_t, OwnReport> m_reports;
    /** Key in m_reports of the report that takeLoads() sent last. */
    std::int64_t m_lastSent = 0;
    std::uint64_t m_documentsGeneration = ~std::uint64_t(0);
    std::unordered_map<std::int64_t, BackendKey> m_backendsByHash;
    /** Demands of the region's other instances, summed by regionDemands(). */
    std::map<InstanceId, std::map<std::int64_t, wire::Demand>> m_peerDemands;
};

} // namespace yuccashift
