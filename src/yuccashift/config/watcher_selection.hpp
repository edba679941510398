#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <span>
#include <vector>

namespace yuccashift {

class RandomSource;

/** Number of instances per region that hold a watch on the configuration service. */
constexpr std::size_t watchersPerRegion = 2;

/** Selects the watchers among the live instances of a region. All instances with the same view of the live instances select the same ones. */
std::vector<InstanceId> chooseWatchers(const RegionName&, std::span<const InstanceId> live, std::size_t count = watchersPerRegion);

/** Whether this instance is one of the watchers. */
bool isWatcher(const InstanceId& self, const RegionName&, std::span<const InstanceId> live, std::size_t count = watchersPerRegion);

/** An instance that may watch for its region. */
struct WatcherCandidate {
    InstanceId instance;
    /** Capacity for work on behalf of others, in processor cores; a slow link bounds it like a slow processor. */
    double capacity = 1;
};

/**
 * The candidates that can receive and pass on large items quickly: those with at least half of the capacity of
 * the `count`-th strongest one.
 */
std::vector<InstanceId> strongestCandidates(std::span<const WatcherCandidate>, std::size_t count = watchersPerRegion);

/**
 * Mean interval between the polls of an instance that does not watch the published items. It grows with the
 * region, so that the polls of a region together stay at the same rate: they notice a change if no watcher does.
 */
Duration pollInterval(std::size_t instancesInRegion);

/** Poll interval and back-off of an instance that does not hold a watch. */
struct PollTiming {
    Duration interval = seconds(60);
    /** Upper limit of the interval after failures. */
    Duration maxBackOff = std::chrono::minutes(5);
    /** Maximum random deviation of each delay in either direction, as a fraction of the delay. */
    double jitter = 0.5;
};

/** Returns the delay before the next poll after the given number of consecutive failures. The delay doubles with each failure up to a limit, and varies randomly. */
Duration nextPollDelay(const PollTiming&, std::uint32_t failures, RandomSource&);

/** Maximum reads per second that the configuration service allows for all clients together. */
constexpr double fleetReadsPerSecond = 2000;
/** Fraction of these reads that the instances use; the rest is left for operators and unexpected load. */
constexpr double plannedReadShare = 0.7;
/** Number of instances assumed until the instance list is known. */
constexpr std::size_t defaultInstanceCount = 370;

/**
 * Token bucket that limits the reads of one instance to its share of the allowed
 * rate, so that all instances together never exceed the rate. Not thread safe.
 */
class ReadPacer {
public:
    explicit ReadPacer(Instant now, std::size_t instanceCount = defaultInstanceCount);

    /** Sets the number of instances that share the rate. A single call reduces the number at most to about half. */
    void setInstanceCount(std::size_t instanceCount);
    /** Takes a token and returns zero, or returns how long to wait if there is none. */
    Duration reserve(Instant now);

private:
    double ratePerSecond() const;
    void refill(Instant now);

    std::size_t m_instanceCount;
    double m_tokens = 1;
    Instant m_refilledAt;
};

} // namespace yuccashift
