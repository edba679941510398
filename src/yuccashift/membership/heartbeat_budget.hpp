#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <cstddef>

namespace yuccashift {

/** Bytes per second that one instance sends in heartbeats to its region, loads excepted; it receives about as many. */
constexpr double regionBytesPerSecond = 2800;
/** Bytes of a heartbeat without any entries. */
constexpr std::size_t heartbeatBaseBytes = 44;

/** Time between two heartbeats to each other member of a region of this size. */
Duration heartbeatInterval(std::size_t regionMembers);

/** How many entries of each kind one heartbeat carries. */
struct HeartbeatBudget {
    std::size_t summaries = 0;
    std::size_t demands = 0;
    std::size_t regionDemands = 0;
    std::size_t quarantine = 0;
    std::size_t members = 0;
    std::size_t revisions = 0;
};

/** The budget of heartbeats inside a region of this size; every kind gets at least one entry. */
HeartbeatBudget regionBudget(std::size_t regionMembers);

/** The budget of heartbeats between regions, which few instances send. */
HeartbeatBudget crossRegionBudget();

} // namespace yuccashift
