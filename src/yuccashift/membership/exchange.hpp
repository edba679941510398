#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <span>
#include <vector>

namespace yuccashift {

namespace wire {
    class BackendLoad;
    class Demand;
    class RegionSummary;
} // namespace wire

// The methods of these interfaces are called with the coordinator's lock held. They must return quickly and must not
// call the coordinator.

/** Exchanges loads of backend servers inside a load group of the region. */
class LoadExchange {
public:
    virtual ~LoadExchange();
    /** Returns at most `limit` loads that are most due to be sent. Called once per message, since the loads returned count as sent. */
    virtual std::vector<wire::BackendLoad> takeLoads(Instant now, std::size_t limit) = 0;
    virtual void onLoads(const InstanceId& from, std::span<const wire::BackendLoad>, Instant now) = 0;
};

/** Exchanges summaries of regions between regions; each region relays them to its instances. */
class SummaryExchange {
public:
    virtual ~SummaryExchange();
    /** Returns one summary for each service that the own region serves. */
    virtual std::vector<wire::RegionSummary> ownSummaries(Instant now) = 0;
    /** Receives summaries of other regions; their `ageMs` counts from when they were created. */
    virtual void onSummaries(std::span<const wire::RegionSummary>, Instant now) = 0;
};

/** Exchanges the usage of limits: by instance inside a region, and in total between regions. */
class DemandExchange {
public:
    virtual ~DemandExchange();
    /** Returns this instance's usage of at most `limit` limits, those that are most due to be sent. */
    virtual std::vector<wire::Demand> takeDemands(Instant now, std::size_t limit) = 0;
    /** Returns the own region's total usage of at most `limit` limits. */
    virtual std::vector<wire::Demand> regionDemands(Instant now, std::size_t limit) = 0;
    virtual void onDemands(const InstanceId& from, std::span<const wire::Demand>, Instant now) = 0;
    /** Receives a region's total usage; `age` is the time since it was computed. */
    virtual void onRegionDemands(const RegionName&, std::span<const wire::Demand>, Duration age, Instant now) = 0;
};

} // namespace yuccashift
