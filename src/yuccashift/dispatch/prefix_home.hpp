#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace yuccashift {

/**
 * Share of the latency objective within which a server or region that holds a prefix must deliver the first
 * byte to be preferred. Of 0.45, 0.6 and 0.8, measured over the users' standard days, 0.8 served most.
 */
constexpr double prefixAffinityObjectiveShare = 0.8;

/** A region that may serve a request, and the number of servers there for the requested service. */
struct RegionCapacity {
    RegionName region;
    std::size_t serverCount = 0;
};

/**
 * Home region of a shared prompt prefix. Requests with the prefix are routed
 * there, so that one region prefills it and not each of them. Regions get prefixes
 * in proportion to their servers; all instances that see the same servers choose
 * the same region. Returns std::nullopt if no region has a server.
 */
std::optional<RegionName> prefixHomeRegion(std::uint64_t prefix, std::span<const RegionCapacity>);

/** Rendezvous weight of a server for a prefix; the server with the highest weight in a region is the prefix's home there. */
std::uint64_t prefixServerWeight(std::uint64_t prefix, std::uint64_t server);

} // namespace yuccashift
