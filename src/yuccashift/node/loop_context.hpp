#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/membership/outgoing.hpp"

#include <boost/asio/awaitable.hpp>

namespace yuccashift {

class Coordinator;
class HeartbeatExchange;
class PeerHub;
struct GatewayComponents;

/** What the background loops of an instance work on. All run on the first loop of the workers. */
struct LoopContext {
    GatewayComponents& components;
    Coordinator& coordinator;
    PeerHub& hub;
    HeartbeatExchange& feeds;

    /** Sends frames; those without a link are dropped, which does no harm. */
    void send(const OutgoingFrames&) const;
};

/** Suspends the calling coroutine. */
boost::asio::awaitable<void> sleepFor(Duration);

} // namespace yuccashift
