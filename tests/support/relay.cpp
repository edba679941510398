#include "tests/support/relay.hpp"

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <thread>

namespace yuccashift::test {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

    using SocketPtr = std::shared_ptr<tcp::socket>;

    /** Bytes that a slow relay forwards at a time, and the pause after them. */
    constexpr std::size_t slowPieceBytes = 4096;
    constexpr std::chrono::milliseconds slowPause { 40 };

} // namespace

struct Relay::State {
    net::io_context context { 1 };
    tcp::acceptor acceptor { context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0) };
    std::thread thread;
    // The members below are accessed only by the relay's thread.
    RelayMode mode = RelayMode::Pass;
    tcp::endpoint target;
    std::set<SocketPtr> sockets;

    net::awaitable<void> acceptAll()
    {
        while (true) {
            auto client = std::make_shared<tcp::socket>(co_await acceptor.async_accept(net::use_awaitable));
            if (mode != RelayMode::Cut)
                net::co_spawn(context, forwardConnection(std::move(client)), net::detached);
        }
    }

    net::awaitable<void> forwardConnection(SocketPtr client)
    {
        auto upstream = std::make_shared<tcp::socket>(context);
        sockets.insert({ client, upstream });
        co_await upstream->async_connect(target, net::use_awaitable);
        net::co_spawn(context, pump(client, upstream, false), net::detached);
        co_await pump(upstream, client, true);
    }

    net::awaitable<void> pump(SocketPtr from, SocketPtr to, bool maySlow)
    {
        std::array<char, 16384> buf {};
        net::steady_timer timer(context);
        try {
            while (true) {
                const bool slow = maySlow && mode == RelayMode::Slow;
                const auto n = co_await from->async_read_some(net::buffer(buf.data(), slow ? slowPieceBytes : buf.size()), net::use_awaitable);
                if (mode == RelayMode::Pass || mode == RelayMode::Slow)
                    co_await net::async_write(*to, net::buffer(buf.data(), n), net::use_awaitable);
                if (!slow)
                    continue;
                timer.expires_after(slowPause);
                co_await timer.async_wait(net::use_awaitable);
            }
        } catch (const boost::system::system_error& e) {
            // A reset stays a reset, so that it does not look like an end in order.
            boost::system::error_code ec;
            if (e.code() == net::error::connection_reset || e.code() == net::error::broken_pipe)
                to->set_option(net::socket_base::linger(true, 0), ec);
            closeAll({ from, to });
        }
    }

    void closeAll(const std::set<SocketPtr>& some)
    {
        boost::system::error_code ec;
        for (const auto& socket : some) {
            socket->close(ec);
            sockets.erase(socket);
        }
    }
};

Relay::Relay()
    : m_state(std::make_shared<State>())
{
    net::co_spawn(m_state->context, m_state->acceptAll(), net::detached);
    m_state->thread = std::thread([state = m_state.get()] { state->context.run(); });
}

Relay::~Relay()
{
    m_state->context.stop();
    m_state->thread.join();
}

Endpoint Relay::endpoint() const
{
    return { "127.0.0.1", m_state->acceptor.local_endpoint().port() };
}

void Relay::setTarget(const Endpoint& target)
{
    const tcp::endpoint endpoint(net::ip::make_address(target.host), target.port);
    net::post(m_state->context, [state = m_state.get(), endpoint] { state->target = endpoint; });
}

void Relay::setMode(RelayMode mode)
{
    net::post(m_state->context, [state = m_state.get(), mode] {
        state->mode = mode;
        // A connection that lost bytes cannot be used again, so every mode change except the one to Swallow closes all connections.
        if (mode != RelayMode::Swallow)
            state->closeAll(std::set(state->sockets));
    });
}

} // namespace yuccashift::test
