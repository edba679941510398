#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace yuccashift {

/**
 * Timer that runs its callback once. The callback does not run after the timer
 * was restarted, cancelled or destroyed. Use only from the thread of its event loop.
 */
class OneShotTimer {
public:
    explicit OneShotTimer(boost::asio::io_context&);
    ~OneShotTimer();
    OneShotTimer(const OneShotTimer&) = delete;
    OneShotTimer& operator=(const OneShotTimer&) = delete;

    /** Runs the callback after the delay. Cancels a callback that is still pending. */
    void start(Duration, std::function<void()>);
    void cancel();

private:
    struct Pending {
        std::function<void()> callback;
    };
    boost::asio::steady_timer m_timer;
    std::shared_ptr<Pending> m_pending;
};

} // namespace yuccashift
