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
    constexpr milliseconds initialRedialDelay { 100 };
    constexpr milliseconds maxRedialDelay { 2000 };

    /** On-demand links are closed after this time without use. */
    constexpr seconds unusedLinkLifetime { 60 };
    /** Maximum time that a request waits for a link that is being dialled. */
    constexpr milliseconds maxDialWait { 1000 };
    constexpr milliseconds dialPollInterval { 10 };

    /** Accepted connections whose other ends have not proved who they are; any further one is closed. */
    constexpr std::uint32_t maxHandshakes = 256;

    /** A listed peer, with its link if one is up. */
    struct DialledPeer {
        PeerAddress address;
        std::atomic<bool> persistent { true };
        std::atomic<bool> listed { true };
        std::atomic<bool> dialling { false };
        std::atomic<bool> lastDialFailed { false };
        std::atomic<Instant> lastUsedAt { Instant {} };
        std::mutex mutex;
        std::shared_ptr<PeerLink> link;

        bool shouldBeDialled(Instant now) const { return listed && (persistent || now - lastUsedAt.load() < unusedLinkLifetime); }

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
    asio::awaitable<void> maintainLink(std::shared_ptr<DialledPeer>);
    asio::awaitable<void> dialOnce(std::shared_ptr<DialledPeer>);
    std::shared_ptr<DialledPeer> find(const InstanceId&) const;
    std::shared_ptr<PeerLink> linkTo(const InstanceId&) const;
    void startDialling(const std::shared_ptr<DialledPeer>&);
    asio::awaitable<std::shared_ptr<PeerLink>> awaitLink(std::shared_ptr<DialledPeer>, Instant deadline);

    WorkerPool& workers;
    tcp::acceptor acceptor;
    LinkSettings settings;
    PeerHandler* handler = nullptr;
    const Clock& clock;
    std::atomic<std::uint32_t> handshakes { 0 };
    mutable std::mutex mutex;
    std::map<InstanceId, std::shared_ptr<DialledPeer>> peers;
};

asio::awaitable<void> PeerHub::State::accept()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        tcp::socket socket(workers.nextLoop());
        const auto [ec] = co_await acceptor.async_accept(socket, awaitTuple);
        if (ec || handshakes >= maxHandshakes)
            continue;
        ++handshakes;
        const auto executor = socket.get_executor();
        asio::co_spawn(
            executor, [self, accepted = std::move(socket)]() mutable { return self->serve(std::move(accepted)); }, asio::detached);
    }
}

asio::awaitable<void> PeerHub::State::serve(tcp::socket socket)
{
    const auto link = std::make_shared<PeerLink>(std::move(socket), settings, *handler, clock);
    const auto other = co_await link->handshake(LinkEnd::Listener);
    --handshakes;
    if (other)
        co_await link->run();
}

asio::awaitable<void> PeerHub::State::dialOnce(std::shared_ptr<DialledPeer> peer)
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
    // Another instance may have taken over the address since the peer was listed.
    if (!other || other->instance != peer->address.instance || !peer->listed)
        co_return;
    peer->lastDialFailed = false;
    peer->set(link);
    co_await link->run();
    peer->set(nullptr);
}

asio::awaitable<void> PeerHub::State::maintainLink(std::shared_ptr<DialledPeer> peer)
{
    const auto self = shared_from_this();
    const auto random = makeSystemRandom();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    Duration redialDelay = initialRedialDelay;
    while (peer->shouldBeDialled(clock.now())) {
        const auto dialStartedAt = clock.now();
        co_await dialOnce(peer);
        // A link that lasted longer than the maximum delay resets the back-off.
        redialDelay = clock.now() - dialStartedAt > maxRedialDelay ? Duration(initialRedialDelay) : std::min<Duration>(redialDelay * 2, maxRedialDelay);
        const auto jitteredDelay = redialDelay / 2 + Duration(random->uniformBelow(static_cast<std::uint64_t>(redialDelay.count() / 2)));
        timer.expires_after(jitteredDelay);
        co_await timer.async_wait(awaitTuple);
    }
    peer->dialling = false;
}

void PeerHub::State::startDialling(const std::shared_ptr<DialledPeer>& peer)
{
    if (peer->dialling.exchange(true))
        return;
    asio::co_spawn(
        workers.nextLoop(), [self = shared_from_this(), peer] { return self->maintainLink(peer); }, asio::detached);
}

// Waits only for on-demand links. A persistent link that is down has already
// been dialled, so a wait for it is not worthwhile.
asio::awaitable<std::shared_ptr<PeerLink>> PeerHub::State::awaitLink(std::shared_ptr<DialledPeer> peer, Instant deadline)
{
    peer->lastUsedAt = clock.now();
    startDialling(peer);
    const auto waitDeadline = std::min(deadline, clock.now() + maxDialWait);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!peer->persistent && !peer->current() && clock.now() < waitDeadline) {
        timer.expires_after(dialPollInterval);
        co_await timer.async_wait(awaitTuple);
    }
    co_return peer->current();
}

std::shared_ptr<DialledPeer> PeerHub::State::find(const InstanceId& instance) const
{
    const std::lock_guard lock(mutex);
    const auto it = peers.find(instance);
    return it == peers.end() ? nullptr : it->second;
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
    std::map<InstanceId, std::shared_ptr<DialledPeer>> updatedPeers;
    const auto now = m_state->clock.now();
    const std::lock_guard lock(m_state->mutex);
    for (const auto& address : peers) {
        if (address.instance == m_state->settings.self.instance)
            continue;
        const auto it = m_state->peers.find(address.instance);
        const bool unchanged = it != m_state->peers.end() && it->second->address.endpoint == address.endpoint;
        const auto peer = unchanged ? it->second : std::make_shared<DialledPeer>();
        if (!unchanged)
            peer->address = address;
        peer->persistent = address.persistent;
        updatedPeers.emplace(address.instance, peer);
        if (address.persistent)
            m_state->startDialling(peer);
    }
    for (auto& [instance, peer] : m_state->peers) {
        const auto it = updatedPeers.find(instance);
        const bool unchanged = it != updatedPeers.end() && it->second == peer;
        if (unchanged && peer->shouldBeDialled(now))
            continue;
        if (!unchanged)
            peer->listed = false;
        if (const auto link = peer->current())
            link->close();
    }
    m_state->peers = std::move(updatedPeers);
}

bool PeerHub::send(const InstanceId& instance, const wire::Frame& frame)
{
    const auto peer = m_state->find(instance);
    if (!peer)
        return false;
    peer->lastUsedAt = m_state->clock.now();
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
    return peer && (peer->current() || (!peer->persistent && !peer->lastDialFailed));
}

void PeerHub::stop()
{
    asio::post(m_state->acceptor.get_executor(), [state = m_state] {
        error_code ec;
        state->acceptor.close(ec);
    });
}

} // namespace yuccashift
