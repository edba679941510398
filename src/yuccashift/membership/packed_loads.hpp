#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace yuccashift {

namespace wire {
    class BackendLoad;
} // namespace wire

/** Size of one packed load. */
constexpr std::size_t packedLoadBytes = 13;
/** Maximum number of loads in one message. */
constexpr std::size_t maxPackedLoads = 512;

/**
 * Packs the first maxPackedLoads loads into packedLoadBytes each, half of what
 * the Thrift encoding takes. Counts are capped at 255 and ages at 25 s. Queued
 * tokens and rates are accurate to 5%, ages to 0.2 s.
 */
std::string packLoads(std::span<const wire::BackendLoad>);

/** Unpacks all complete entries, up to maxPackedLoads; ignores trailing bytes, since the input may be damaged. */
std::vector<wire::BackendLoad> unpackLoads(std::string_view);

} // namespace yuccashift
