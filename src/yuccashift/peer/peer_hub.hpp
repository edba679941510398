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
    void serve(PeerHandler&);
    /** Keeps links to these instances and drops the others. */
    void setPeers(std::span<const PeerAddress>);
    /** Sends a control frame; false where no link is up. Any thread. */
    bool send(const InstanceId&, const wire::Frame&);
    bool connected(const InstanceId&) const;
    /** Sends a request to another instance and waits for the head of its answer. PeerLost with `not run` where no link is up. */
    boost::asio::awaitable<Result<std::unique_ptr<IncomingAnswer>>> forward(InstanceId, wire::Forward, Instant deadline);
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace yuccashift
