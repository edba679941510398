#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace yuccashift {

/** Weight of one instance for one purpose; the highest holds the role. */
std::uint64_t rendezvousWeight(std::uint64_t purpose, std::string_view instance);

/** The instances ordered by their weight for a purpose, highest first; equal on all who see the same members. */
std::vector<InstanceId> rendezvousOrder(std::uint64_t purpose, std::span<const InstanceId> instances);

/** The first `count` of rendezvousOrder(). */
std::vector<InstanceId> rendezvousTop(std::uint64_t purpose, std::span<const InstanceId> instances, std::size_t count);

} // namespace yuccashift
