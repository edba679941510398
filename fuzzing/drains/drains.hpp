#pragma once

#include <cstdint>
#include <iosfwd>

namespace yuccashift::drains {

/** One run of the check. */
struct DrainPlan {
    std::uint64_t seed = 1;
    /** Stops in a row, each of another run of an instance. */
    unsigned drains = 20;
};

/**
 * Stops real instances of `yuccashiftd` with SIGTERM at drawn moments while
 * streams, plain calls and hops are in progress and others start. Each must end
 * by itself with status 0, and every answer must be whole or a clear failure.
 * Meant for builds with a sanitizer, whose findings end the process with another
 * status. Prints what broke; true where nothing did.
 */
bool playDrains(const DrainPlan&, std::ostream&);

} // namespace yuccashift::drains
