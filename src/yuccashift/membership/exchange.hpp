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

// The interfaces below are called with the coordinator's lock held: they return
// quickly and never call back into it.

/** Loads of backend servers, exchanged inside a load cell of the region. */
class LoadExchange {
public:
    virtual ~LoadExchange();
    /** The loads that most need telling, at most `limit`; called once for each telling. */
    virtual std::vector<wire::BackendLoad> takeLoads(Instant now, std::size_t limit) = 0;
    virtual void onLoads(const InstanceId& from, std::span<const wire::BackendLoad>, Instant now) = 0;
};

/** Summaries of regions, exchanged between regions and passed on inside them. */
class SummaryExchange {
public:
    virtual ~SummaryExchange();
    /** One summary for each service that the own region serves. */
    virtual std::vector<wire::RegionSummary> ownSummaries(Instant now) = 0;
    /** Summaries of other regions; `ageMs` counts from where they were made. */
    virtual void onSummaries(std::span<const wire::RegionSummary>, Instant now) = 0;
};

/** Use of limits, exchanged inside a region by instance and between regions in sum. */
class DemandExchange {
public:
    virtual ~DemandExchange();
    /** This instance's use of the limits that most need telling, at most `limit`. */
    virtual std::vector<wire::Demand> takeDemands(Instant now, std::size_t limit) = 0;
    /** The own region's use in sum, at most `limit`. */
    virtual std::vector<wire::Demand> regionDemands(Instant now, std::size_t limit) = 0;
    virtual void onDemands(const InstanceId& from, std::span<const wire::Demand>, Instant now) = 0;
    virtual void onRegionDemands(const RegionName&, std::span<const wire::Demand>, Duration age, Instant now) = 0;
};

} // namespace yuccashift
