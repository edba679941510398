#pragma once

#include "yuccashift/membership/exchange.hpp"
#include "yuccashift/ports/engine_control.hpp"
#include "yuccashift/routing/backend_key.hpp"

#include <map>
#include <mutex>
#include <unordered_map>

namespace yuccashift {

struct Parts;

/**
 * What heartbeats carry between the books of load, regions and limits of
 * different instances. Thread safe under one lock.
 */
class Feeds final : public LoadExchange, public SummaryExchange, public DemandExchange {
public:
    explicit Feeds(Parts&);

    /** A report that this instance read itself, to be told to the others. */
    void onOwnReport(const BackendKey&, const LoadReport&, Instant takenAt);

    std::vector<wire::BackendLoad> takeLoads(Instant now, std::size_t limit) override;
    void onLoads(const InstanceId& from, std::span<const wire::BackendLoad>, Instant now) override;
    std::vector<wire::RegionSummary> ownSummaries(Instant now) override;
    void onSummaries(std::span<const wire::RegionSummary>, Instant now) override;
    std::vector<wire::Demand> takeDemands(Instant now, std::size_t limit) override;
    std::vector<wire::Demand> regionDemands(Instant now, std::size_t limit) override;
    void onDemands(const InstanceId& from, std::span<const wire::Demand>, Instant now) override;
    void onRegionDemands(const RegionName&, std::span<const wire::Demand>, Duration age, Instant now) override;

    /** Name under which a region's demands stand beside those of instances. */
    static InstanceId regionPeer(const RegionName&);

private:
    struct OwnReport {
        BackendKey backend;
        LoadReport report;
        Instant takenAt;
        bool told = false;
    };

    const BackendKey* findBackend(std::int64_t hash);

    Parts& m_parts;
    std::mutex m_mutex;
    std::map<std::int64_t, OwnReport> m_reports;
    /** Where takeLoads() goes on. */
    std::int64_t m_lastTaken = 0;
    std::uint64_t m_namesGeneration = ~std::uint64_t(0);
    std::unordered_map<std::int64_t, BackendKey> m_names;
    /** Demands of the region's other instances, for the region's sum. */
    std::map<InstanceId, std::map<std::int64_t, wire::Demand>> m_peerDemands;
};

} // namespace yuccashift
