#pragma once

#include <cstdint>
#include <iosfwd>

namespace yuccashift::soak {

struct StreamOptions {
    std::uint64_t seed = 1;
    /** Time during which callers begin and resume streams, in seconds. */
    unsigned seconds = 15;
};

/**
 * Callers read streams and resume those that break off, while the software of the servers is replaced, the route changes its time
 * limit and its service, goes and comes back, and instances are killed, stopped and told to read their settings, in series that
 * overlap. Returns true if no caller got events of two software versions. Each fifth seed plays many processes.
 */
bool runStreams(const StreamOptions&, std::ostream& out);

} // namespace yuccashift::soak
