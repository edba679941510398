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
    // A request that the origin has accepted is not rejected here for its size.
    InboundLimits limits;
    limits.maxHeaderBytes = 256 * 1024;
    limits.maxBodyBytes = 64 << 20;
    limits.idleTimeout = seconds(30);
    return limits;
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
