#pragma once

#include "yuccashift/gateway/request_context.hpp"
#include "yuccashift/http/answer_sink.hpp"

#include <boost/asio/awaitable.hpp>

namespace yuccashift {

class Coordinator;
class PeerHub;
struct GatewayComponents;

/** Sends requests to other instances and relays their answers. */
class Forwarder {
public:
    Forwarder(GatewayComponents&, const Coordinator&, PeerHub&);

    /** Has an instance of another region execute the request. Fails with PeerLost and run state NotRun if none is reachable. */
    boost::asio::awaitable<Result<void>> forwardToRegion(const RequestContext&, const RegionName&, AnswerSink&);
    /** Has the instance that minted the request's idempotency key handle the request. */
    boost::asio::awaitable<Result<void>> forwardToMinter(const RequestContext&, const InstanceId&, AnswerSink&);
    /** Instances of the region that are alive and connected to this one. */
    std::vector<InstanceId> reachableIn(const RegionName&) const;

private:
    GatewayComponents& m_components;
    const Coordinator& m_coordinator;
    PeerHub& m_hub;
};

} // namespace yuccashift
