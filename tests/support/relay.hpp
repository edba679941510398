#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <memory>

namespace yuccashift::test {

/** How a relay treats its connections. */
enum class RelayMode {
    Pass,
    /** Accepts connections and keeps them open, but discards all bytes. */
    Swallow,
    /** Closes connections and refuses new ones. */
    Cut,
    /** Forwards what the target sends at about 100 kB/s a connection. */
    Slow,
};

/** TCP relay in front of one listener; runs on its own thread. */
class Relay {
public:
    Relay();
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    /** Endpoint that the relay listens on. */
    Endpoint endpoint() const;
    void setTarget(const Endpoint&);
    void setMode(RelayMode);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace yuccashift::test
