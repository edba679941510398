#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/routing/types.hpp"

#include <deque>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

namespace yuccashift {

/** Load of a service in a region, as exchanged between regions. */
struct RegionLoad {
    std::uint32_t slots = 0;
    std::uint32_t busySlots = 0;
    /** Expected time to wait for a slot. */
    Duration queueWait {};
    /** Smoothed time for which a request holds a slot. */
    Duration meanServiceTime {};
};

/** Estimated total load of those servers that can take requests. */
RegionLoad aggregateLoad(std::span<const BackendState>, Instant now);

/** Constant settings of a RegionLoadTracker. */
struct RegionLoadTrackerSettings {
    RegionName localRegion;
    /** Assumed round trip to a region until one has been measured. */
    Duration defaultRoundTrip = milliseconds(60);
};

/** Tracks load, reachability and round trip of the other regions. Thread safe. */
class RegionLoadTracker {
public:
    explicit RegionLoadTracker(RegionLoadTrackerSettings);

    /** Stores a summary taken at takenAt on the local clock; drops it if it is not newer than the stored one. */
    void onSummary(const RegionName&, const ServiceName&, const RegionLoad&, Instant takenAt);
    /** Records that a request was sent to another region. */
    void onSent(const RegionName&, const ServiceName&, Instant now);
    /** Sets whether any instance of the region is reachable, according to the membership. */
    void onReachable(const RegionName&, bool reachable, Instant now);
    void onRoundTrip(const RegionName&, Duration);
    /** Sets the number of instances that act on the same summaries, such as those of this region. */
    void setObserverCount(std::uint32_t);

    /**
     * State of every region of the document. The caller passes the load of the local
     * region as `here`, since it knows it more precisely.
     */
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
    /** Guards all members below. One mutex is enough, since there are few regions and the critical sections are short. */
    mutable std::mutex m_mutex;
    std::uint32_t m_observerCount = 1;
    std::unordered_map<RegionName, Region> m_regions;
};

} // namespace yuccashift
