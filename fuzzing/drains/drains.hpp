#pragma once

#include <cstdint>
#include <iosfwd>

namespace yuccashift::drains {

/** Parameters of one run of the drain check. */
struct DrainPlan {
    std::uint64_t seed = 1;
    /** Number of consecutive stops; the stopped instance is restarted after each. */
    unsigned drains = 20;
};

/**
 * Stops real instances of `yuccashiftd` with SIGTERM at random times while
 * streams, plain calls and hops are in progress and others start. Each instance
 * must exit by itself with status 0, and every answer must be complete or a clear
 * failure. Intended for builds with a sanitizer, whose findings end the process
 * with another status. Prints all violations; returns true if there are none.
 */
bool runDrains(const DrainPlan&, std::ostream&);

} // namespace yuccashift::drains
