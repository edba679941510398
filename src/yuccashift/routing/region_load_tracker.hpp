#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/routing/types.hpp"

#include <deque>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

namespace yuccashift {

/** Load of one service in one region, exchanged between regions. */
struct RegionLoad {
    std::uint32_t slots = 0;
    std::uint32_t busySlots = 0;
    /** Expected wait for a slot. */
    Duration queueWait {};
    /** Smoothed time for which a request holds a slot. */
    Duration meanServiceTime {};
};

/** Load of the servers together, as they are believed to be now. */
RegionLoad aggregateLoad(std::span<const BackendState>, Instant now);

/** Settings of a RegionLoadTracker that do not change. */
struct RegionLoadTrackerSettings {
    RegionName localRegion;
    /** Round trip to a region that has not been measured. */
    Duration defaultRoundTrip = milliseconds(60);
};

/** What this instance believes about the other regions. Thread safe. */
class RegionLoadTracker {
public:
    explicit RegionLoadTracker(RegionLoadTrackerSettings);

    /** A summary taken at the instant, on the local clock; older ones are dropped. */
    void onSummary(const RegionName&, const ServiceName&, const RegionLoad&, Instant takenAt);
    /** A request was sent to another region. */
    void onSent(const RegionName&, const ServiceName&, Instant now);
    /** Whether any instance of the region answers, from membership. */
    void onReachable(const RegionName&, bool reachable, Instant now);
    void onRoundTrip(const RegionName&, Duration);
    /** Instances that act on the same summaries, such as those of this region. */
    void setObserverCount(std::uint32_t);

    /** Every region of the document; the load here comes from the caller, as it is known best. */
    std::vector<RegionState> states(const Document&, const RequestTraits&, const RegionLoad& here, Instant now) const;

private:
    struct Summary {
        RegionLoad load;
        Instant takenAt;
        std::deque<Instant> sent;
    };
    struct Region {
        bool reachable = true;
        std::optional<Instant> returnedAt;
        std::optional<Duration> roundTrip;
        std::unordered_map<ServiceName, Summary> services;
    };

    RegionState stateOf(const RegionName&, const ServiceName&, Instant now) const;

    RegionLoadTrackerSettings m_settings;
    /** Guards all below; regions are few and the sections short. */
    mutable std::mutex m_mutex;
    std::uint32_t m_observers = 1;
    std::unordered_map<RegionName, Region> m_regions;
};

} // namespace yuccashift
