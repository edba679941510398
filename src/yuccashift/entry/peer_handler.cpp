#include "yuccashift/entry/peer_handler.hpp"

#include "yuccashift/entry/request_job.hpp"

namespace yuccashift {

namespace {

    constexpr int statusBadRequest = 400;

    void refuse(InboundExchange& exchange)
    {
        AnswerHead head;
        head.status = statusBadRequest;
        // Without the mark of a failure, the origin would take this for the answer of a backend server.
        head.headers.push_back(encodeHopFailure({ { ErrorKind::MalformedRequest, {}, RunState::NotRun, {} }, false }));
        exchange.sendComplete(std::move(head), "not a request of an instance\n");
    }

} // namespace

PeerHandler::PeerHandler(EntryCore& core, SnapshotExchange& snapshots)
    : m_core(core)
    , m_snapshots(snapshots)
{
}

InboundLimits PeerHandler::limits() const
{
    const auto routes = m_core.fleetState.routes();
    return m_core.listenerLimits.instances(routes ? routes->config().limits : InboundLimits());
}

void PeerHandler::onRefusal(const Error& error, AnswerHead& head) const
{
    head.headers.push_back(encodeHopFailure({ error, false }));
}

void PeerHandler::onRequest(std::shared_ptr<InboundExchange> exchange)
{
    auto& headers = exchange->request().headers;
    if (!isForwarded(headers) && m_snapshots.answer(*exchange))
        return;
    auto metadata = extractHopMetadata(headers);
    if (!metadata)
        return refuse(*exchange);
    RequestJob::start(m_core, std::move(exchange), std::move(metadata));
}

} // namespace yuccashift
