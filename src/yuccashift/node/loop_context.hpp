#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/membership/outgoing.hpp"

#include <boost/asio/awaitable.hpp>

namespace yuccashift {

class Coordinator;
class HeartbeatExchange;
class PeerHub;
struct GatewayComponents;

/** References that the background loops of an instance share. All of these loops run on the worker pool's first event loop. */
struct LoopContext {
    GatewayComponents& components;
    Coordinator& coordinator;
    PeerHub& hub;
    HeartbeatExchange& heartbeatExchange;

    /** Sends control frames to peers. A frame for a peer without a link is dropped, which the protocol tolerates. */
    void send(const OutgoingFrames&) const;
};

/** Suspends the calling coroutine for this long. */
boost::asio::awaitable<void> sleepFor(Duration);

} // namespace yuccashift
