#pragma once

#include "yuccashift/gateway/executor.hpp"
#include "yuccashift/gateway/forwarder.hpp"
#include "yuccashift/http/server.hpp"
#include "yuccashift/keys/key_routing.hpp"
#include "yuccashift/peer/peer_link.hpp"

#include <functional>

namespace yuccashift {

class Coordinator;
class PeerHub;
struct GatewayComponents;

/** Handles requests of callers and of other instances: authenticates, places and executes or forwards them. */
class Gateway final : public RequestHandler, public PeerHandler {
public:
    Gateway(GatewayComponents&, Coordinator&, PeerHub&);
    ~Gateway() override;

    boost::asio::awaitable<void> handle(RequestMessage, AnswerSink&) override;
    void onControl(const PeerIdentity& from, const wire::Frame&) override;
    boost::asio::awaitable<void> onForward(PeerIdentity from, wire::Forward, AnswerSink&) override;

    /**
     * Chooses the region that is to execute the request, and gives the reason
     * why each other one was rejected. The vector receives the states of the
     * regions that the decision's index refers to.
     */
    Decision chooseRegion(const RequestContext&, std::vector<RegionState>&);

private:
    boost::asio::awaitable<Result<void>> handleCaller(RequestMessage, AnswerSink&, const TraceContext&, HeaderFields& extra);
    boost::asio::awaitable<Result<void>> serve(const RequestContext&, AnswerSink&, bool forwarded);
    boost::asio::awaitable<Result<void>> serveKeyed(const RequestContext&, AnswerSink&, bool forwarded);
    boost::asio::awaitable<Result<void>> runKeyed(const RequestContext&, const MintedKey&, AnswerSink&);
    boost::asio::awaitable<Result<void>> placeRequest(const RequestContext&, AnswerSink&);
    boost::asio::awaitable<Result<void>> answerEntries(const RequestMessage&, AnswerSink&);
    Result<void> checkReady() const;
    MinterState minterState(const InstanceId&, const RequestContext&) const;
    Result<RequestContext> admitLocal(RequestMessage, const TraceContext&);
    void offerKey(const RequestContext&, HeaderFields& extra);

    GatewayComponents& m_components;
    Coordinator& m_coordinator;
    PeerHub& m_hub;
    Executor m_executor;
    Forwarder m_forwarder;
};

} // namespace yuccashift
