#pragma once

#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <memory>

namespace yuccashift {

struct Settings;

/** Addresses that the listeners are bound to; port 0 in the settings selects a free port. */
struct NodeEndpoints {
    Endpoint callers;
    Endpoint peers;
    Endpoint operators;
};

/** One gateway instance: its listeners, peer links and background loops, and the components that they use. */
class Node {
public:
    /** Binds the listeners. Fails with BadSettings if an address cannot be bound or a policy is unknown. */
    static Result<std::unique_ptr<Node>> create(Settings);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    const NodeEndpoints& endpoints() const;
    /** Serves requests; returns when a graceful shutdown has finished all requests in progress. */
    void run();
    /** Starts a graceful shutdown, as SIGTERM and SIGINT do. Callable from any thread. */
    void drain();

private:
    struct State;
    explicit Node(std::unique_ptr<State>);
    std::unique_ptr<State> m_state;
};

} // namespace yuccashift
