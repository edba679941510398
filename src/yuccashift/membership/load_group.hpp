#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <span>
#include <vector>

namespace yuccashift {

/** Instances that tell each other the loads of the backend servers they watch. */
constexpr std::size_t maxLoadGroupSize = 16;
/** Bytes per second that one instance sends to its cell; it receives about as many. */
constexpr double loadReportBytesPerSecond = 2000;

/**
 * The other members of this instance's cell. A region's instances are dealt
 * into cells of nearly equal size, the same on all that see the same members;
 * one that comes or goes moves few others.
 */
std::vector<InstanceId> loadGroupPeers(const InstanceId& self, const RegionName&, std::span<const InstanceId> live);

/** Time to the next telling after one of so many bytes to so many others. */
Duration loadReportInterval(std::size_t receivers, std::size_t bytes);

} // namespace yuccashift
