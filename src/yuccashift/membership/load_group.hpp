#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <span>
#include <vector>

namespace yuccashift {

/** Maximum size of a load group, whose instances send each other the loads of the backend servers they monitor. */
constexpr std::size_t maxLoadGroupSize = 16;
/** Bytes per second that one instance sends to its load group. It receives about as many. */
constexpr double loadReportBytesPerSecond = 2000;

/**
 * Returns the other members of this instance's load group, or an empty vector if
 * `live` does not contain it. A region's instances are divided into groups of
 * nearly equal size. Instances with the same `live` compute the same groups, and
 * an instance that joins or leaves moves few others.
 */
std::vector<InstanceId> loadGroupPeers(const InstanceId& self, const RegionName&, std::span<const InstanceId> live);

/** Time to wait after `bytes` were sent to each of `receivers`, so that loadReportBytesPerSecond is kept. */
Duration loadReportInterval(std::size_t receivers, std::size_t bytes);

} // namespace yuccashift
