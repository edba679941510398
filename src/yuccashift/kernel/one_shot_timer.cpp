#include "yuccashift/kernel/one_shot_timer.hpp"

#include <utility>

namespace yuccashift {

OneShotTimer::OneShotTimer(boost::asio::io_context& io)
    : m_timer(io)
{
}

OneShotTimer::~OneShotTimer() = default;

void OneShotTimer::start(Duration delay, std::function<void()> callback)
{
    m_pending = std::make_shared<Pending>(Pending { std::move(callback) });
    m_timer.expires_after(delay);
    // A handler that is already queued cannot be cancelled. It locks the weak pointer to find out whether its callback was replaced or cancelled.
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
