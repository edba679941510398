#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace yuccashift {

namespace wire {
    class BackendLoad;
} // namespace wire

/** Bytes of one packed load. */
constexpr std::size_t packedLoadBytes = 13;
/** Loads that one message holds at most. */
constexpr std::size_t maxPackedLoads = 512;

/**
 * Loads of backend servers in a fixed number of bytes each, half of what the
 * codec takes for them. Counts stop at 255, ages at 25 s; queued tokens and
 * rates are kept within 5%, ages within 0.2 s.
 */
std::string packLoads(std::span<const wire::BackendLoad>);

/** Whole entries of a text that may be damaged; what is left over is ignored. */
std::vector<wire::BackendLoad> unpackLoads(std::string_view);

} // namespace yuccashift
