#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace yuccashift {

/**
 * Calls back once after a time, and never after it was started anew, cancelled
 * or destroyed. For one event loop.
 */
class OneShotTimer {
public:
    explicit OneShotTimer(boost::asio::io_context&);
    ~OneShotTimer();
    OneShotTimer(const OneShotTimer&) = delete;
    OneShotTimer& operator=(const OneShotTimer&) = delete;

    /** Replaces what was started before. */
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
