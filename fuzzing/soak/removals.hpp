#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>

namespace yuccashift::soak {

struct RemovalOptions {
    std::uint64_t seed = 1;
    /** Time beyond the bound that is allowed; arrivals are not timed if it is zero. */
    std::chrono::milliseconds slack { 500 };
};

/**
 * Replaces servers in series, alone and many at once, while the store ends and refuses the calls that wait for changes and drops its
 * history. Returns true if no removal waited as if the store had been away and no server got requests later than the bound. Each fifth
 * seed plays many processes.
 */
bool runRemovals(const RemovalOptions&, std::ostream& out);

} // namespace yuccashift::soak
