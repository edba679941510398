#pragma once

#include "yuccashift/entry/snapshot_exchange.hpp"
#include "yuccashift/http/inbound.hpp"

namespace yuccashift {

/**
 * Handles the requests of other instances: those that they forward for callers, and their own for published items. What
 * tells the two apart is the metadata that only instances set; a caller's request may have any method, path and body.
 */
class PeerHandler final : public InboundHandler {
public:
    PeerHandler(EntryCore&, SnapshotExchange&);

    void onRequest(std::shared_ptr<InboundExchange>) override;
    InboundLimits limits() const override;
    void onRefusal(const Error&, AnswerHead&) const override;
    bool shouldCloseConnections() const override { return false; }
    bool probesSilentCallers() const override { return true; }

private:
    EntryCore& m_core;
    SnapshotExchange& m_snapshots;
};

} // namespace yuccashift
