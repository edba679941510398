#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace yuccashift {

/** A region that may serve a request, as its heartbeats show it. */
struct RemoteRegionEstimate {
    /** Wait for the first byte of a small request there. */
    Duration timeToFirstByte {};
    /** Reading there what of the prompt is not held there. */
    Duration promptPrefillTime {};
    /** To the region and back. */
    Duration roundTrip {};
    /** Requests with this shared prefix meet there, so that it need not be read again. */
    bool holdsPrefix = false;
};

struct PlacementInput {
    /** Time to the first byte in this region; nothing where no server here can take the request. */
    std::optional<Duration> localTimeToFirstByte;
    /** Reading the shared prefix in this region, as far as it is not held here. */
    Duration prefixPrefillTime {};
    std::span<const RemoteRegionEstimate> remotes;
    /** Time to the first byte at a server without other work. */
    Duration idleTimeToFirstByte {};
    /** Time left until the caller counts the answer as late. */
    Duration objective {};
    /** Time left until the caller gives up. */
    Duration deadline {};
};

struct Placement {
    enum class Action {
        Local,
        Remote,
        Refuse,
    };
    Action action = Action::Refuse;
    /** Index into the remotes. */
    std::size_t remoteIndex = 0;
    Duration predicted {};
};

/**
 * Decides between this region, another one and an early refusal. Leaving the
 * region has to pay for the path, the cold prompt and a margin that keeps
 * requests from wandering; a long shared prefix that another region holds pays
 * for the path by itself. A request that would queue for too long is refused
 * now; how long its own prompt takes is not held against it.
 */
Placement place(const PlacementInput&);

} // namespace yuccashift
