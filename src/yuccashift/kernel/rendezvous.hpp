#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace yuccashift {

/** Weight of an instance for a key in highest-random-weight hashing; the instance with the largest weight owns the key. */
std::uint64_t rendezvousWeight(std::uint64_t key, std::string_view instance);

/** Sorts the instances by descending weight for the key. Peers that know the same instances compute the same order. */
std::vector<InstanceId> rendezvousOrder(std::uint64_t key, std::span<const InstanceId> instances);

/** The first `count` instances of rendezvousOrder(), or all if there are fewer. */
std::vector<InstanceId> rendezvousTop(std::uint64_t key, std::span<const InstanceId> instances, std::size_t count);

} // namespace yuccashift
