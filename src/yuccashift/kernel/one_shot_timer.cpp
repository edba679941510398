#include "yuccashift/kernel/one_shot_timer.hpp"

#include <utility>

namespace yuccashift {

OneShotTimer::OneShotTimer(boost::asio::io_context& io)
    : m_timer(io)
{
}

OneShotTimer::~OneShotTimer() = default;

void OneShotTimer::start(Duration time, std::function<void()> callback)
{
    m_pending = std::make_shared<Pending>(Pending { std::move(callback) });
    m_timer.expires_after(time);
    // A handler that is queued already cannot be cancelled: it finds out by itself that it is not wanted.
    m_timer.async_wait([weak = std::weak_ptr(m_pending)](const boost::system::error_code& ec) {
        const auto pending = weak.lock();
        if (!ec && pending)
            std::exchange(pending->callback, nullptr)();
    });
}

void OneShotTimer::cancel()
{
    m_pending.reset();
    m_timer.cancel();
}

} // namespace yuccashift
