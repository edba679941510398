#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace yuccashift {

/** Whether the coroutine that awaits this has been cancelled. */
boost::asio::awaitable<bool> isCancelled();

/**
 * Cancels a coroutine that runs on the given executor. A signal reaches only the operation in progress, so it is
 * repeated until the object is destroyed. Use only from the thread of the executor.
 */
class Canceller {
public:
    explicit Canceller(const boost::asio::any_io_executor&);
    ~Canceller();
    Canceller(const Canceller&) = delete;
    Canceller& operator=(const Canceller&) = delete;

    boost::asio::cancellation_slot slot();
    void cancel();
    bool cancelled() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace yuccashift
