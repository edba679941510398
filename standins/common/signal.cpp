#include "standins/common/signal.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace standins {

namespace net = boost::asio;

net::awaitable<void> Signal::wait()
{
    co_await waitUntil(Clock::time_point::max());
}

net::awaitable<void> Signal::waitUntil(Clock::time_point deadline)
{
    net::steady_timer timer(co_await net::this_coro::executor, deadline);
    m_waiting.insert(&timer);
    boost::system::error_code ec;
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ec));
    m_waiting.erase(&timer);
}

void Signal::notifyAll()
{
    for (auto* timer : m_waiting)
        timer->cancel();
}

net::awaitable<void> sleepFor(Clock::duration duration)
{
    net::steady_timer timer(co_await net::this_coro::executor, duration);
    co_await timer.async_wait(net::use_awaitable);
}

} // namespace standins
