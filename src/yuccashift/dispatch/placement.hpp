#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace yuccashift {

/** Latency to expect of another region that may serve a request, from its heartbeats. */
struct RemoteRegionEstimate {
    /** Expected time to first byte of a small request there. */
    Duration timeToFirstByte {};
    /** Prefill time of the part of the prompt that is not cached there. */
    Duration promptPrefillTime {};
    /** Network round trip to the region. */
    Duration roundTrip {};
    /** Whether the region is the home region of the request's shared prefix, which is expected to have it cached. */
    bool holdsPrefix = false;
};

struct PlacementInput {
    /** Predicted time to first byte in this region; std::nullopt if no server here can take the request. */
    std::optional<Duration> localTimeToFirstByte;
    /** Prefill time of the part of the shared prefix that the server chosen in this region has not cached. */
    Duration prefixPrefillTime {};
    std::span<const RemoteRegionEstimate> remotes;
    /** Predicted time to first byte at an idle server with an empty cache. */
    Duration idleTimeToFirstByte {};
    /** Time left until the latency objective, after which the answer counts as late. */
    Duration objective {};
    /** Time left until the deadline, when the caller gives up. */
    Duration deadline {};
    /** Whether the instance reaches no server of its region, so that another region is the only one for its callers. */
    bool reachesNoServer = false;
    /** Whether the engines of this region have room for the request beside those that go before it. */
    bool acceptedHere = true;
};

/** Where a request is sent, or that it is refused. */
struct Placement {
    enum class Action {
        Local,
        Remote,
        Refuse,
    };
    Action action = Action::Refuse;
    /** Index into PlacementInput::remotes; only valid for a remote placement. */
    std::size_t remoteIndex = 0;
    /** Predicted time to first byte; zero if no region can take the request. */
    Duration predicted {};
};

/**
 * Chooses between this region, another region and early refusal. A request that
 * would miss its objective here goes to another region if that one is faster
 * after its round trip, the prefill of uncached tokens and a margin against
 * moving requests for small gains. The home region of a long shared prefix is
 * preferred without that margin. A request that would queue for too long is
 * refused at once; the prefill time of its own prompt does not count as queueing,
 * nor does the round trip if no server of this region can be reached: such a request
 * is accepted as long as one of the other region's own callers would be.
 * A request for which this region has no room only goes to another region.
 */
Placement place(const PlacementInput&);

} // namespace yuccashift
