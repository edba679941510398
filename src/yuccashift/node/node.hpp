#pragma once

#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <memory>

namespace yuccashift {

struct Settings;

/** Addresses in force, since port 0 in the settings picks a free one. */
struct NodeEndpoints {
    Endpoint callers;
    Endpoint peers;
    Endpoint operators;
};

/** One entry instance: listeners, links, loops and the parts they work on. */
class Node {
public:
    /** Binds the listeners. BadSettings where an address or a policy cannot be had. */
    static Result<std::unique_ptr<Node>> create(Settings);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    const NodeEndpoints& endpoints() const;
    /** Serves until drain() was called and everything in progress has ended. */
    void run();
    /** Starts a graceful shutdown. Any thread. */
    void drain();

private:
    struct State;
    explicit Node(std::unique_ptr<State>);
    std::unique_ptr<State> m_state;
};

} // namespace yuccashift
