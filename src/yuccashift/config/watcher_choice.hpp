#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <span>
#include <vector>

namespace yuccashift {

class RandomSource;

/** Instances of a region that hold a watch on the configuration service. */
constexpr std::size_t watchersPerRegion = 2;

/** The watchers among the live instances of a region. */
std::vector<InstanceId> chooseWatchers(const RegionName&, std::span<const InstanceId> live, std::size_t count = watchersPerRegion);

/** Whether this instance is to hold a watch. */
bool isWatcher(const InstanceId& self, const RegionName&, std::span<const InstanceId> live, std::size_t count = watchersPerRegion);

/** When an instance that holds no watch reads the listing by itself. */
struct PollTiming {
    Duration interval = seconds(60);
    Duration longestBackOff = std::chrono::minutes(5);
    /** Share of the interval by which each wait varies to either side. */
    double jitter = 0.5;
};

/** Time to the next poll after so many failures in a row. */
Duration nextPollDelay(const PollTiming&, std::uint32_t failures, RandomSource&);

/** Reads per second that the configuration service allows for all readers together. */
constexpr double fleetReadsPerSecond = 2000;
/** Share of them that instances plan with; the rest is for operators and surprises. */
constexpr double plannedReadShare = 0.7;
/** Instances assumed until the listing is known. */
constexpr std::size_t assumedFleet = 370;

/**
 * Caps the reads of one instance to its share of what the service allows, so
 * that all instances together stay inside it whatever makes them read. Not
 * thread safe.
 */
class ReadPacer {
public:
    explicit ReadPacer(Instant now, std::size_t fleet = assumedFleet);

    void setFleet(std::size_t instances);
    /** Takes one read now, or says how long to wait for it. */
    Duration reserve(Instant now);

private:
    double ratePerSecond() const;
    void refill(Instant now);

    std::size_t m_fleet;
    double m_tokens = 1;
    Instant m_refilledAt;
};

} // namespace yuccashift
