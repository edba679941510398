#include "yuccashift/peer/peer_hub.hpp"

#include "peer_types.h"
#include "yuccashift/kernel/detail/await.hpp"
#include "yuccashift/kernel/detail/listen.hpp"
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

    /** Links that are not kept are closed after this time without use. */
    constexpr seconds unusedLifetime { 60 };
    /** Longest wait of a request for a link that is being dialled. */
    constexpr milliseconds longestDialWait { 1000 };
    constexpr milliseconds dialCheck { 10 };

    /** A peer that links are dialled to, until it is no longer wanted. */
    struct Dialled {
        PeerAddress address;
        std::atomic<bool> keep { true };
        std::atomic<bool> wanted { true };
        std::atomic<bool> dialling { false };
        std::atomic<bool> lastDialFailed { false };
        std::atomic<Instant> usedAt { Instant {} };
        std::mutex mutex;
        std::shared_ptr<PeerLink> link;

        bool needed(Instant now) const { return wanted && (keep || now - usedAt.load() < unusedLifetime); }

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
        , acceptor(pool.primaryLoop())
        , settings(std::move(linkSettings))
        , clock(hubClock)
    {
    }

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(tcp::socket);
    asio::awaitable<void> keepDialled(std::shared_ptr<Dialled>);
    asio::awaitable<void> dialOnce(std::shared_ptr<Dialled>);
    std::shared_ptr<Dialled> find(const InstanceId&) const;
    std::shared_ptr<PeerLink> linkTo(const InstanceId&) const;
    void startDialling(const std::shared_ptr<Dialled>&);
    asio::awaitable<std::shared_ptr<PeerLink>> awaitLink(std::shared_ptr<Dialled>, Instant deadline);

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
        tcp::socket socket(workers.nextLoop());
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
    peer->lastDialFailed = true;
    stream.expires_after(dialTimeout);
    const auto [connectEc] = co_await stream.async_connect(tcp::endpoint(address, peer->address.endpoint.port), awaitTuple);
    if (connectEc)
        co_return;
    const auto link = std::make_shared<PeerLink>(stream.release_socket(), settings, *handler, clock);
    const auto other = co_await link->handshake(LinkEnd::Dialler);
    // An address may have passed to another instance since it was listed.
    if (!other || other->instance != peer->address.instance || !peer->wanted)
        co_return;
    peer->lastDialFailed = false;
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
    while (peer->needed(clock.now())) {
        const auto begun = clock.now();
        co_await dialOnce(peer);
        // A link that held for a while starts the back-off anew.
        wait = clock.now() - begun > slowestRedial ? Duration(firstRedial) : std::min<Duration>(wait * 2, slowestRedial);
        const auto jittered = wait / 2 + Duration(random->uniformBelow(static_cast<std::uint64_t>(wait.count() / 2)));
        timer.expires_after(jittered);
        co_await timer.async_wait(awaitTuple);
    }
    peer->dialling = false;
}

void PeerHub::State::startDialling(const std::shared_ptr<Dialled>& peer)
{
    if (peer->dialling.exchange(true))
        return;
    asio::co_spawn(
        workers.nextLoop(), [self = shared_from_this(), peer] { return self->keepDialled(peer); }, asio::detached);
}

// A kept link that is down has been tried already; only one that was never
// asked for is worth a wait.
asio::awaitable<std::shared_ptr<PeerLink>> PeerHub::State::awaitLink(std::shared_ptr<Dialled> peer, Instant deadline)
{
    peer->usedAt = clock.now();
    startDialling(peer);
    const auto until = std::min(deadline, clock.now() + longestDialWait);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!peer->keep && !peer->current() && clock.now() < until) {
        timer.expires_after(dialCheck);
        co_await timer.async_wait(awaitTuple);
    }
    co_return peer->current();
}

std::shared_ptr<Dialled> PeerHub::State::find(const InstanceId& instance) const
{
    const std::lock_guard lock(mutex);
    const auto it = dialled.find(instance);
    return it == dialled.end() ? nullptr : it->second;
}

std::shared_ptr<PeerLink> PeerHub::State::linkTo(const InstanceId& instance) const
{
    const auto peer = find(instance);
    return peer ? peer->current() : nullptr;
}

PeerHub::PeerHub(WorkerPool& workers, LinkSettings settings, const Clock& clock)
    : m_state(std::make_shared<State>(workers, std::move(settings), clock))
{
}

PeerHub::~PeerHub() = default;

Result<Endpoint> PeerHub::listen(const Endpoint& endpoint)
{
    return detail::listenOn(m_state->acceptor, endpoint);
}

void PeerHub::startAccepting(PeerHandler& handler)
{
    m_state->handler = &handler;
    asio::co_spawn(
        m_state->acceptor.get_executor(), [state = m_state] { return state->accept(); }, asio::detached);
}

void PeerHub::setPeers(std::span<const PeerAddress> peers)
{
    std::map<InstanceId, std::shared_ptr<Dialled>> kept;
    const auto now = m_state->clock.now();
    const std::lock_guard lock(m_state->mutex);
    for (const auto& address : peers) {
        if (address.instance == m_state->settings.self.instance)
            continue;
        const auto it = m_state->dialled.find(address.instance);
        const bool known = it != m_state->dialled.end() && it->second->address.endpoint == address.endpoint;
        const auto peer = known ? it->second : std::make_shared<Dialled>();
        if (!known)
            peer->address = address;
        peer->keep = address.persistent;
        kept.emplace(address.instance, peer);
        if (address.persistent)
            m_state->startDialling(peer);
    }
    for (auto& [instance, peer] : m_state->dialled) {
        const auto it = kept.find(instance);
        const bool known = it != kept.end() && it->second == peer;
        if (known && peer->needed(now))
            continue;
        if (!known)
            peer->wanted = false;
        if (const auto link = peer->current())
            link->close();
    }
    m_state->dialled = std::move(kept);
}

bool PeerHub::send(const InstanceId& instance, const wire::Frame& frame)
{
    const auto peer = m_state->find(instance);
    if (!peer)
        return false;
    peer->usedAt = m_state->clock.now();
    const auto link = peer->current();
    if (!link)
        m_state->startDialling(peer);
    return link && link->send(frame);
}

bool PeerHub::connected(const InstanceId& instance) const
{
    return m_state->linkTo(instance) != nullptr;
}

asio::awaitable<Result<std::unique_ptr<IncomingAnswer>>> PeerHub::forward(InstanceId instance, wire::Forward forward, Instant deadline)
{
    std::shared_ptr<PeerLink> link;
    const auto peer = m_state->find(instance);
    if (peer)
        link = co_await m_state->awaitLink(peer, deadline);
    if (!link)
        co_return tl::unexpected(Error { ErrorKind::PeerLost, "no link to " + instance, RunState::NotRun, {} });
    co_return co_await link->forward(std::move(forward), deadline);
}

bool PeerHub::reachable(const InstanceId& instance) const
{
    const auto peer = m_state->find(instance);
    return peer && (peer->current() || (!peer->keep && !peer->lastDialFailed));
}

void PeerHub::stop()
{
    asio::post(m_state->acceptor.get_executor(), [state = m_state] {
        error_code ec;
        state->acceptor.close(ec);
    });
}

} // namespace yuccashift
