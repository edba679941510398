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
struct Parts;

/** Takes requests of callers and of other instances through the parts to their answers. */
class Gateway final : public RequestHandler, public PeerHandler {
public:
    Gateway(Parts&, Coordinator&, PeerHub&);
    ~Gateway() override;

    boost::asio::awaitable<void> handle(RequestMessage, AnswerSink&) override;
    void onControl(const PeerIdentity& from, const wire::Frame&) override;
    boost::asio::awaitable<void> onForward(PeerIdentity from, wire::Forward, AnswerSink&) override;

    /** The region that would execute the request, with the reason for every other. */
    Decision chooseRegion(const RequestContext&, std::vector<RegionState>&);

private:
    boost::asio::awaitable<Result<void>> handleCaller(RequestMessage, AnswerSink&, const TraceContext&, HeaderFields& extra);
    boost::asio::awaitable<Result<void>> serve(const RequestContext&, AnswerSink&, bool forwarded);
    boost::asio::awaitable<Result<void>> serveKeyed(const RequestContext&, AnswerSink&, bool forwarded);
    boost::asio::awaitable<Result<void>> runKeyed(const RequestContext&, const MintedKey&, AnswerSink&);
    boost::asio::awaitable<Result<void>> place(const RequestContext&, AnswerSink&);
    boost::asio::awaitable<Result<void>> answerEntries(const RequestMessage&, AnswerSink&);
    Result<void> checkReady() const;
    MinterBelief minterState(const InstanceId&, const RequestContext&) const;
    Result<RequestContext> admitLocal(RequestMessage, const TraceContext&);
    void offerKey(const RequestContext&, HeaderFields& extra);

    Parts& m_parts;
    Coordinator& m_coordinator;
    PeerHub& m_hub;
    Executor m_executor;
    Forwarder m_forwarder;
};

} // namespace yuccashift
