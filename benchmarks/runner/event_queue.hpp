#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace yuccashift::runner {

/** Discrete-event scheduler whose virtual clock advances from event to event. */
class EventQueue {
public:
    using Action = std::function<void()>;

    Instant now() const { return m_now; }
    void at(Instant, Action);
    void after(Duration, Action);
    /** Runs the events due up to and including the instant, ordered by time, then by insertion. */
    void runUntil(Instant);

private:
    struct Event {
        Instant at;
        std::uint64_t order = 0;
        Action action;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    Instant m_now { seconds(100) };
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
};

} // namespace yuccashift::runner
