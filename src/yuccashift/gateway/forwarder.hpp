#pragma once

#include "yuccashift/gateway/request_context.hpp"
#include "yuccashift/http/answer_sink.hpp"

#include <boost/asio/awaitable.hpp>

namespace yuccashift {

class Coordinator;
class PeerHub;
struct Parts;

/** Sends requests to other instances and relays their answers. */
class Forwarder {
public:
    Forwarder(Parts&, const Coordinator&, PeerHub&);

    /** Has some instance of another region execute the request. PeerLost with `not run` where none can be reached. */
    boost::asio::awaitable<Result<void>> toRegion(const RequestContext&, const RegionName&, AnswerSink&);
    /** Has the instance that minted the request's key handle it. */
    boost::asio::awaitable<Result<void>> toMinter(const RequestContext&, const InstanceId&, AnswerSink&);
    /** Instances of a region that can be handed a request now. */
    std::vector<InstanceId> reachableIn(const RegionName&) const;

private:
    Parts& m_parts;
    const Coordinator& m_coordinator;
    PeerHub& m_hub;
};

} // namespace yuccashift
