#include "yuccashift/peer/peer_hub.hpp"

#include "peer_types.h"
#include "yuccashift/kernel/detail/await.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/kernel/worker_pool.hpp"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <mutex>

namespace yuccashift {

namespace asio = boost::asio;
using boost::system::error_code;
using detail::awaitTuple;
using tcp = asio::ip::tcp;

namespace {

    constexpr seconds dialTimeout { 2 };
    constexpr milliseconds firstRedial { 100 };
    constexpr milliseconds slowestRedial { 2000 };

    /** A peer that links are dialled to, until it is no longer wanted. */
    struct Dialled {
        PeerAddress address;
        std::atomic<bool> wanted { true };
        std::mutex mutex;
        std::shared_ptr<PeerLink> link;

        std::shared_ptr<PeerLink> current()
        {
            const std::lock_guard lock(mutex);
            return link;
        }

        void set(std::shared_ptr<PeerLink> next)
        {
            const std::lock_guard lock(mutex);
            link = std::move(next);
        }
    };

} // namespace

struct PeerHub::State : std::enable_shared_from_this<PeerHub::State> {
    State(WorkerPool& pool, LinkSettings linkSettings, const Clock& hubClock)
        : workers(pool)
        , acceptor(pool.first())
        , settings(std::move(linkSettings))
        , clock(hubClock)
    {
    }

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(tcp::socket);
    asio::awaitable<void> keepDialled(std::shared_ptr<Dialled>);
    asio::awaitable<void> dialOnce(std::shared_ptr<Dialled>);
    std::shared_ptr<PeerLink> linkTo(const InstanceId&) const;

    WorkerPool& workers;
    tcp::acceptor acceptor;
    LinkSettings settings;
    PeerHandler* handler = nullptr;
    const Clock& clock;
    mutable std::mutex mutex;
    std::map<InstanceId, std::shared_ptr<Dialled>> dialled;
};

asio::awaitable<void> PeerHub::State::accept()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        tcp::socket socket(workers.next());
        const auto [ec] = co_await acceptor.async_accept(socket, awaitTuple);
        if (ec)
            continue;
        const auto executor = socket.get_executor();
        asio::co_spawn(
            executor, [self, accepted = std::move(socket)]() mutable { return self->serve(std::move(accepted)); }, asio::detached);
    }
}

asio::awaitable<void> PeerHub::State::serve(tcp::socket socket)
{
    const auto link = std::make_shared<PeerLink>(std::move(socket), settings, *handler, clock);
    const auto other = co_await link->handshake(LinkEnd::Listener);
    if (other)
        co_await link->run();
}

asio::awaitable<void> PeerHub::State::dialOnce(std::shared_ptr<Dialled> peer)
{
    error_code ec;
    const auto address = asio::ip::make_address(peer->address.endpoint.host, ec);
    if (ec)
        co_return;
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(dialTimeout);
    const auto [connectEc] = co_await stream.async_connect(tcp::endpoint(address, peer->address.endpoint.port), awaitTuple);
    if (connectEc)
        co_return;
    const auto link = std::make_shared<PeerLink>(stream.release_socket(), settings, *handler, clock);
    const auto other = co_await link->handshake(LinkEnd::Dialler);
    // An address may have passed to another instance since it was listed.
    if (!other || other->instance != peer->address.instance || !peer->wanted)
        co_return;
    peer->set(link);
    co_await link->run();
    peer->set(nullptr);
}

asio::awaitable<void> PeerHub::State::keepDialled(std::shared_ptr<Dialled> peer)
{
    const auto self = shared_from_this();
    const auto random = makeSystemRandom();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    Duration wait = firstRedial;
    while (peer->wanted) {
        const auto begun = clock.now();
        co_await dialOnce(peer);
        // A link that held for a while starts the back-off anew.
        wait = clock.now() - begun > slowestRedial ? Duration(firstRedial) : std::min<Duration>(wait * 2, slowestRedial);
        const auto jittered = wait / 2 + Duration(random->below(static_cast<std::uint64_t>(wait.count() / 2)));
        timer.expires_after(jittered);
        co_await timer.async_wait(awaitTuple);
    }
}

std::shared_ptr<PeerLink> PeerHub::State::linkTo(const InstanceId& instance) const
{
    const std::lock_guard lock(mutex);
    const auto it = dialled.find(instance);
    return it == dialled.end() ? nullptr : it->second->current();
}

PeerHub::PeerHub(WorkerPool& workers, LinkSettings settings, const Clock& clock)
    : m_state(std::make_shared<State>(workers, std::move(settings), clock))
{
}

PeerHub::~PeerHub() = default;

Result<Endpoint> PeerHub::listen(const Endpoint& endpoint)
{
    error_code ec;
    const auto address = asio::ip::make_address(endpoint.host, ec);
    const tcp::endpoint local(address, endpoint.port);
    auto& acceptor = m_state->acceptor;
    if (!ec)
        acceptor.open(local.protocol(), ec);
    if (!ec)
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(local, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return fail(ErrorKind::BadSettings, "cannot listen on " + toString(endpoint) + ": " + ec.message());
    return Endpoint { endpoint.host, acceptor.local_endpoint().port() };
}

void PeerHub::serve(PeerHandler& handler)
{
    m_state->handler = &handler;
    asio::co_spawn(
        m_state->acceptor.get_executor(), [state = m_state] { return state->accept(); }, asio::detached);
}

void PeerHub::setPeers(std::span<const PeerAddress> peers)
{
    std::map<InstanceId, std::shared_ptr<Dialled>> kept;
    std::vector<std::shared_ptr<Dialled>> added;
    const std::lock_guard lock(m_state->mutex);
    for (const auto& address : peers) {
        if (address.instance == m_state->settings.self.instance)
            continue;
        const auto it = m_state->dialled.find(address.instance);
        if (it != m_state->dialled.end() && it->second->address.endpoint == address.endpoint) {
            kept.emplace(address.instance, it->second);
            continue;
        }
        auto peer = std::make_shared<Dialled>();
        peer->address = address;
        added.push_back(peer);
        kept.emplace(address.instance, std::move(peer));
    }
    for (auto& [instance, peer] : m_state->dialled) {
        const auto it = kept.find(instance);
        if (it != kept.end() && it->second == peer)
            continue;
        peer->wanted = false;
        if (const auto link = peer->current())
            link->close();
    }
    m_state->dialled = std::move(kept);
    for (const auto& peer : added) {
        asio::co_spawn(
            m_state->workers.next(), [state = m_state, peer] { return state->keepDialled(peer); }, asio::detached);
    }
}

bool PeerHub::send(const InstanceId& instance, const wire::Frame& frame)
{
    const auto link = m_state->linkTo(instance);
    return link && link->send(frame);
}

bool PeerHub::connected(const InstanceId& instance) const
{
    return m_state->linkTo(instance) != nullptr;
}

asio::awaitable<Result<std::unique_ptr<IncomingAnswer>>> PeerHub::forward(InstanceId instance, wire::Forward forward, Instant deadline)
{
    const auto link = m_state->linkTo(instance);
    if (!link)
        co_return tl::unexpected(Error { ErrorKind::PeerLost, "no link to " + instance, RunState::NotRun, {} });
    co_return co_await link->forward(std::move(forward), deadline);
}

void PeerHub::stop()
{
    asio::post(m_state->acceptor.get_executor(), [state = m_state] {
        error_code ec;
        state->acceptor.close(ec);
    });
}

} // namespace yuccashift
