#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace yuccashift {

/** Number of instances of a region that send heartbeats to one other region. */
constexpr std::size_t sendersPerRegionPair = 2;

/** Which senders of a region pair send a message. */
enum class SenderSelection {
    /** One sender per round, in turn; for periodic messages. */
    RoundRobin,
    /** Every sender; for messages that should not wait. */
    All,
};

/**
 * Returns the instance of region `to` to which `self` sends a message on behalf of
 * its region `from`, or std::nullopt if other instances send it. Each pair of
 * regions has its own senders, which distributes the work over all instances.
 * @param live alive instances of region `from`
 * @param remote instances of region `to` that may be running
 * @param round counter of heartbeats; the receiver changes with it, so that a stopped one is not the only one tried
 */
std::optional<InstanceId> selectCrossRegionReceiver(const InstanceId& self, const RegionName& from, const RegionName& to,
    std::span<const InstanceId> live, std::span<const InstanceId> remote, std::uint64_t round, SenderSelection);

} // namespace yuccashift
