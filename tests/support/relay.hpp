#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <memory>

namespace yuccashift::test {

/** What a relay does with the bytes of its connections. */
enum class RelayMode {
    Pass,
    /** Accepts and keeps connections, and swallows everything. */
    Swallow,
    /** Closes connections and refuses new ones. */
    Cut,
};

/** TCP relay on a thread of its own, before one listener. */
class Relay {
public:
    Relay();
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    /** Where it listens. */
    Endpoint endpoint() const;
    void setTarget(const Endpoint&);
    void setMode(RelayMode);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace yuccashift::test
