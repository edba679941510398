#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <set>

namespace standins {

using Clock = std::chrono::steady_clock;

/** Condition variable for the coroutines of one thread. */
class Signal {
public:
    /** Returns at the next notifyAll(). */
    boost::asio::awaitable<void> wait();
    /** Returns at the next notifyAll() or at the deadline, whichever comes first. */
    boost::asio::awaitable<void> waitUntil(Clock::time_point);
    void notifyAll();

private:
    std::set<boost::asio::steady_timer*> m_waiting;
};

/** Suspends the calling coroutine for this duration. */
boost::asio::awaitable<void> sleepFor(Clock::duration);

} // namespace standins
