#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace yuccashift {

/**
 * Part of the objective within which a first byte is soon enough to go to the holder of a prefix, in the own
 * region or another. Of 0.45, 0.6 and 0.8, measured over the users' standard days, the last served most.
 */
constexpr double prefixAffinityObjectiveShare = 0.8;

/** A region that may serve a request, and how many servers of its service it has. */
struct RegionCapacity {
    RegionName region;
    std::size_t serverCount = 0;
};

/**
 * The region in which requests with a shared prompt prefix meet, so that it is
 * read once and not once in each region. Regions get prefixes by their number of
 * servers; all instances that see the same servers name the same one. Nothing
 * where no region has a server.
 */
std::optional<RegionName> prefixHomeRegion(std::uint64_t prefix, std::span<const RegionCapacity>);

/** Weight of a server for a prefix; the highest of a region is the prefix's home there. */
std::uint64_t prefixServerWeight(std::uint64_t prefix, std::uint64_t server);

} // namespace yuccashift
