#pragma once

#include <cstddef>
#include <cstdint>

namespace yuccashift::capacity {

/** What control costs one instance of a region, on average. */
struct ControlCost {
    /** Sent; as many are received. */
    double bytesPerSecond = 0;
    double framesPerSecond = 0;
    /** Processor time with encoding and decoding, for a second of the fleet's time. */
    double microsecondsPerSecond = 0;
};

/** The fleet around the region that is measured. */
struct FleetShape {
    std::size_t regionMembers = 0;
    std::size_t otherInstances = 0;
    std::size_t regions = 24;
    std::size_t services = 7;
    /** Backend servers that each instance watches. */
    std::size_t watched = 32;
};

/**
 * Joins the shipped coordinators of one region in memory under a virtual clock
 * and counts what they exchange once all know each other. Other regions answer
 * each heartbeat with one like it.
 */
ControlCost measureRegion(const FleetShape&);

} // namespace yuccashift::capacity
