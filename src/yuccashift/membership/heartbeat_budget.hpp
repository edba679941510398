#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <cstddef>

namespace yuccashift {

/** Bytes per second that one instance sends in heartbeats to its region, without loads. It receives about as many. */
constexpr double regionBytesPerSecond = 2800;
/** Bytes of a heartbeat without any entries. */
constexpr std::size_t heartbeatBaseBytes = 44;

/** Time between two heartbeats to each other member of a region with this many instances. */
Duration heartbeatInterval(std::size_t regionMembers);

/** Maximum number of entries of each kind in one heartbeat. */
struct HeartbeatBudget {
    std::size_t summaries = 0;
    std::size_t demands = 0;
    std::size_t regionDemands = 0;
    std::size_t quarantine = 0;
    std::size_t members = 0;
    std::size_t revisions = 0;
};

/** The budget of heartbeats inside a region with this many instances; every kind gets at least one entry. */
HeartbeatBudget regionBudget(std::size_t regionMembers);

/** The budget of heartbeats between regions, which only few instances send. */
HeartbeatBudget crossRegionBudget();

} // namespace yuccashift
