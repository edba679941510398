#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace yuccashift {

/** Instances of a region that speak to one other region. */
constexpr std::size_t sendersPerRegionPair = 2;

/** Which speakers of a pair of regions send. */
enum class SenderSelection {
    /** One after the other; for what is sent regularly. */
    RoundRobin,
    /** All of them; for news that should not wait. */
    All,
};

/**
 * The instance of region `to` that `self` sends its region's news to, or
 * nothing where others speak for it. Every pair of regions has speakers of its
 * own, so the work is spread over all instances.
 * @param live alive instances of region `from`
 * @param remote instances of region `to` that may be running
 * @param round counts heartbeats, so that a stopped receiver is not the only one tried
 */
std::optional<InstanceId> selectCrossRegionReceiver(const InstanceId& self, const RegionName& from, const RegionName& to,
    std::span<const InstanceId> live, std::span<const InstanceId> remote, std::uint64_t round, SenderSelection);

} // namespace yuccashift
