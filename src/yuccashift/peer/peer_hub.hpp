#pragma once

#include "yuccashift/peer/peer_link.hpp"

#include <map>
#include <memory>
#include <span>

namespace yuccashift {

class WorkerPool;

/** Endpoint on which another instance accepts links. */
struct PeerAddress {
    InstanceId instance;
    Endpoint endpoint;
    /** Whether a link is kept up at all times. Otherwise it is dialled on demand. */
    bool persistent = true;
};

/** Links to other instances: dials the listed peers and accepts the links that they dial. */
class PeerHub {
public:
    PeerHub(WorkerPool&, LinkSettings, const Clock&);
    ~PeerHub();
    PeerHub(const PeerHub&) = delete;
    PeerHub& operator=(const PeerHub&) = delete;

    /** Binds and listens. Returns the bound endpoint, which has the assigned port if port 0 was given. */
    Result<Endpoint> listen(const Endpoint&);
    /** Starts to accept links. Call before setPeers(). The handler must outlive the run of the worker pool. */
    void startAccepting(PeerHandler&);
    /** Replaces the list of peers. Closes links to peers that are not listed any more or have a new endpoint, and on-demand links that are unused. */
    void setPeers(std::span<const PeerAddress>);
    /** Sends a control frame. If no link is up, drops the frame, dials a link for later frames and returns false. Thread-safe. */
    bool send(const InstanceId&, const wire::Frame&);
    bool connected(const InstanceId&) const;
    /** Whether a link is up, or may be dialled on demand because the latest dial did not fail. */
    bool reachable(const InstanceId&) const;
    /** Sends a request to another instance and waits for the head of its answer. PeerLost with RunState::NotRun if there is no link. */
    boost::asio::awaitable<Result<std::unique_ptr<IncomingAnswer>>> forward(InstanceId, wire::Forward, Instant deadline);
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace yuccashift
