#pragma once

#include "yuccashift/peer/peer_link.hpp"

#include <map>
#include <memory>
#include <span>

namespace yuccashift {

class WorkerPool;

/** Where another instance listens for links. */
struct PeerAddress {
    InstanceId instance;
    Endpoint endpoint;
    /** Whether a link is always held; others are dialled when they are needed. */
    bool persistent = true;
};

/** Links to other instances: dials those it is told of, and accepts theirs. */
class PeerHub {
public:
    PeerHub(WorkerPool&, LinkSettings, const Clock&);
    ~PeerHub();
    PeerHub(const PeerHub&) = delete;
    PeerHub& operator=(const PeerHub&) = delete;

    /** Binds and listens; returns the endpoint in force, since port 0 picks one. */
    Result<Endpoint> listen(const Endpoint&);
    /** Accepts links from now on. Call before setPeers(); the handler must outlive the workers' run. */
    void startAccepting(PeerHandler&);
    /** All instances that links may lead to; links to others are dropped, and so are unused ones that are not kept. */
    void setPeers(std::span<const PeerAddress>);
    /** Sends a control frame; where no link is up it is lost, and a link is dialled for the next one. Any thread. */
    bool send(const InstanceId&, const wire::Frame&);
    bool connected(const InstanceId&) const;
    /** Whether a link is up, or may come up when it is needed. */
    bool reachable(const InstanceId&) const;
    /** Sends a request to another instance and waits for the head of its answer. PeerLost with `not run` where no link is up. */
    boost::asio::awaitable<Result<std::unique_ptr<IncomingAnswer>>> forward(InstanceId, wire::Forward, Instant deadline);
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace yuccashift
