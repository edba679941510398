#include "benchmarks/runner/event_queue.hpp"

#include <algorithm>

namespace yuccashift::runner {

void EventQueue::at(Instant instant, Action action)
{
    m_events.push({ std::max(instant, m_now), m_order++, std::move(action) });
}

void EventQueue::after(Duration wait, Action action)
{
    at(m_now + wait, std::move(action));
}

void EventQueue::runUntil(Instant end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        auto action = m_events.top().action;
        m_now = m_events.top().at;
        m_events.pop();
        action();
    }
    m_now = std::max(m_now, end);
}

} // namespace yuccashift::runner
