#include "yuccashift/kernel/cancellation.hpp"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr milliseconds repeatInterval { 100 };

} // namespace

asio::awaitable<bool> isCancelled()
{
    const auto state = co_await asio::this_coro::cancellation_state;
    co_return state.cancelled() != asio::cancellation_type::none;
}

struct Canceller::State : std::enable_shared_from_this<Canceller::State> {
    explicit State(const asio::any_io_executor& executor)
        : timer(executor)
    {
    }

    void emit()
    {
        signal.emit(asio::cancellation_type::terminal);
        timer.expires_after(repeatInterval);
        timer.async_wait([weak = weak_from_this()](const boost::system::error_code& ec) {
            const auto self = weak.lock();
            if (!ec && self)
                self->emit();
        });
    }

    asio::cancellation_signal signal;
    asio::steady_timer timer;
    bool cancelled = false;
};

Canceller::Canceller(const asio::any_io_executor& executor)
    : m_state(std::make_shared<State>(executor))
{
}

Canceller::~Canceller()
{
    m_state->timer.cancel();
}

asio::cancellation_slot Canceller::slot()
{
    return m_state->signal.slot();
}

void Canceller::cancel()
{
    if (std::exchange(m_state->cancelled, true))
        return;
    // The signal may end the coroutine and with it this object.
    const auto state = m_state;
    state->emit();
}

bool Canceller::cancelled() const
{
    return m_state->cancelled;
}

} // namespace yuccashift
