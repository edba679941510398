#include "yuccashift/peer/peer_link.hpp"

#include "yuccashift/kernel/detail/await.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/peer/codec.hpp"
#include "yuccashift/peer/detail/peer_answer.hpp"
#include "yuccashift/peer/detail/peer_answer_sink.hpp"

#include <array>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace yuccashift {

namespace asio = boost::asio;
using boost::system::error_code;
using detail::awaitTuple;
using detail::FrameChannel;
using detail::PeerAnswer;
using detail::PeerAnswerSink;
using tcp = asio::ip::tcp;

namespace {

    /** Maximum number of frames of an answer that wait for its reader. One more closes the answer's channel. */
    constexpr std::size_t maxWaitingAnswerFrames = 4096;
    constexpr seconds handshakeTimeout { 2 };

    wire::Frame controlFrame()
    {
        wire::Frame frame;
        frame.stream = 0;
        return frame;
    }

} // namespace

PeerHandler::~PeerHandler() = default;

asio::awaitable<Result<wire::Frame>> PeerLink::State::readFrame()
{
    std::array<std::uint8_t, frameLengthBytes> prefix {};
    const auto [prefixEc, n] = co_await asio::async_read(stream, asio::buffer(prefix), awaitTuple);
    if (prefixEc)
        co_return fail(ErrorKind::PeerLost, prefixEc.message());
    const auto size = decodeFrameLength(prefix, authenticated ? maxFrameBytes : maxHandshakeFrameBytes);
    if (!size)
        co_return tl::unexpected(size.error());
    buffer.resize(*size);
    const auto [ec, read] = co_await asio::async_read(stream, asio::buffer(buffer), awaitTuple);
    if (ec)
        co_return fail(ErrorKind::PeerLost, ec.message());
    co_return decodeFrame(buffer);
}

asio::awaitable<Result<wire::Hello>> PeerLink::State::readHello()
{
    auto frame = co_await readFrame();
    if (!frame)
        co_return tl::unexpected(frame.error());
    if (!frame->__isset.hello)
        co_return fail(ErrorKind::Unauthenticated, "a frame before the handshake");
    co_return std::move(frame->hello);
}

asio::awaitable<bool> PeerLink::State::writeHello(const wire::Hello& hello)
{
    auto frame = controlFrame();
    frame.__set_hello(hello);
    const auto bytes = encodeFrame(frame);
    const auto [ec, n] = co_await asio::async_write(stream, asio::buffer(bytes), awaitTuple);
    co_return !ec;
}

// Order of the handshake: the dialler sends a Hello without a proof, the listener
// a Hello with its proof, then the dialler its Hello again with its proof.
asio::awaitable<Result<PeerIdentity>> PeerLink::State::dial(wire::Hello mine)
{
    const bool helloSent = co_await writeHello(mine);
    if (!helloSent)
        co_return fail(ErrorKind::PeerLost);
    const auto theirs = co_await readHello();
    if (!theirs)
        co_return tl::unexpected(theirs.error());
    if (!verifyProof(settings.key, LinkEnd::Listener, *theirs, mine, theirs->proof))
        co_return fail(ErrorKind::Unauthenticated, "the listener's proof is wrong");
    mine.proof = makeProof(settings.key, LinkEnd::Dialler, mine, *theirs);
    const bool proofSent = co_await writeHello(mine);
    if (!proofSent)
        co_return fail(ErrorKind::PeerLost);
    co_return PeerIdentity { theirs->instance, static_cast<Incarnation>(theirs->incarnation) };
}

asio::awaitable<Result<PeerIdentity>> PeerLink::State::listen(wire::Hello mine)
{
    const auto theirs = co_await readHello();
    if (!theirs)
        co_return tl::unexpected(theirs.error());
    mine.proof = makeProof(settings.key, LinkEnd::Listener, mine, *theirs);
    const bool helloSent = co_await writeHello(mine);
    if (!helloSent)
        co_return fail(ErrorKind::PeerLost);
    const auto proofHello = co_await readHello();
    if (!proofHello)
        co_return tl::unexpected(proofHello.error());
    if (!verifyProof(settings.key, LinkEnd::Dialler, *theirs, mine, proofHello->proof))
        co_return fail(ErrorKind::Unauthenticated, "the dialler's proof is wrong");
    co_return PeerIdentity { theirs->instance, static_cast<Incarnation>(theirs->incarnation) };
}

bool PeerLink::State::queue(std::string bytes)
{
    return !closed && outgoing.try_send(error_code(), std::move(bytes));
}

void PeerLink::State::shutDown()
{
    if (closed.exchange(true))
        return;
    outgoing.close();
    stream.close();
    std::vector<std::int64_t> executing;
    {
        const std::lock_guard lock(mutex);
        for (auto& [id, channel] : pendingAnswers)
            channel->close();
        pendingAnswers.clear();
        for (const auto& [id, canceller] : executingStreams)
            executing.push_back(id);
    }
    // Nobody can receive the answers any more.
    for (const auto id : executing)
        cancelExecution(id);
}

std::int64_t PeerLink::State::openStream(const std::shared_ptr<FrameChannel>& channel)
{
    const std::lock_guard lock(mutex);
    const auto id = ++lastStream;
    // With a closed channel the reader learns at once that the link is lost.
    if (closed)
        channel->close();
    else
        pendingAnswers.emplace(id, channel);
    return id;
}

void PeerLink::State::closeStream(std::int64_t id, bool cancel)
{
    {
        const std::lock_guard lock(mutex);
        if (pendingAnswers.erase(id) == 0)
            return;
    }
    if (!cancel)
        return;
    wire::Frame frame;
    frame.stream = id;
    frame.__set_cancel({});
    queue(encodeFrame(frame));
}

bool PeerLink::State::isCancelled(std::int64_t id)
{
    const std::lock_guard lock(mutex);
    return !executingStreams.contains(id);
}

void PeerLink::State::deliver(wire::Frame&& frame)
{
    const std::lock_guard lock(mutex);
    const auto it = pendingAnswers.find(frame.stream);
    // Frames may still arrive after their stream was closed; they are dropped.
    if (it == pendingAnswers.end())
        return;
    const auto channel = it->second;
    if (!channel->try_send(error_code(), std::make_shared<wire::Frame>(std::move(frame)))) {
        channel->close();
        pendingAnswers.erase(it);
    }
}

void PeerLink::State::dispatch(wire::Frame&& frame)
{
    if (frame.__isset.ping) {
        auto pong = controlFrame();
        pong.__set_pong({});
        queue(encodeFrame(pong));
        return;
    }
    if (frame.__isset.pong)
        return;
    if (frame.__isset.answerHead || frame.__isset.answerChunk || frame.__isset.answerEnd) {
        deliver(std::move(frame));
        return;
    }
    if (frame.__isset.cancel) {
        cancelExecution(frame.stream);
        return;
    }
    if (!frame.__isset.forward) {
        handler.onControl(peerIdentity, frame);
        return;
    }
    const auto canceller = std::make_shared<Canceller>(stream.get_executor());
    {
        const std::lock_guard lock(mutex);
        // Checking executingStreams is not enough: a late duplicate of a refused request must not run either.
        if (!streamDeduplicator.accept(frame.stream))
            return;
        executingStreams.emplace(frame.stream, canceller);
    }
    // The signal must outlive the coroutine.
    const auto ended = [canceller](const std::exception_ptr&) {};
    asio::co_spawn(
        stream.get_executor(),
        [self = shared_from_this(), id = frame.stream, forward = std::move(frame.forward)]() mutable { return self->execute(id, std::move(forward)); },
        asio::bind_cancellation_slot(canceller->slot(), ended));
}

void PeerLink::State::cancelExecution(std::int64_t id)
{
    std::shared_ptr<Canceller> canceller;
    {
        const std::lock_guard lock(mutex);
        const auto it = executingStreams.find(id);
        if (it == executingStreams.end())
            return;
        canceller = std::move(it->second);
        executingStreams.erase(it);
    }
    canceller->cancel();
}

asio::awaitable<void> PeerLink::State::execute(std::int64_t id, wire::Forward forward)
{
    // A cancelled operation reports an error instead of throwing, so that what has begun is also counted as ended.
    co_await asio::this_coro::throw_if_cancelled(false);
    PeerAnswerSink sink(shared_from_this(), id);
    co_await handler.onForward(peerIdentity, std::move(forward), sink);
    co_await sink.finish();
    const std::lock_guard lock(mutex);
    executingStreams.erase(id);
}

asio::awaitable<void> PeerLink::State::readLoop()
{
    while (!closed) {
        stream.expires_after(settings.idleTimeout);
        auto frame = co_await readFrame();
        if (!frame)
            break;
        dispatch(std::move(*frame));
    }
    shutDown();
}

asio::awaitable<void> PeerLink::State::writeLoop()
{
    const auto self = shared_from_this();
    while (!closed) {
        auto [ec, bytes] = co_await outgoing.async_receive(awaitTuple);
        if (ec)
            break;
        const auto [writeEc, n] = co_await asio::async_write(stream.socket(), asio::buffer(bytes), awaitTuple);
        if (writeEc)
            break;
    }
    shutDown();
}

asio::awaitable<void> PeerLink::State::pingLoop()
{
    const auto self = shared_from_this();
    auto ping = controlFrame();
    ping.__set_ping({});
    const auto bytes = encodeFrame(ping);
    asio::steady_timer timer(stream.get_executor());
    while (!closed) {
        queue(bytes);
        timer.expires_after(settings.pingInterval);
        co_await timer.async_wait(awaitTuple);
    }
}

PeerLink::PeerLink(tcp::socket socket, LinkSettings settings, PeerHandler& handler, const Clock& clock)
    : m_state(std::make_shared<State>(std::move(socket), std::move(settings), handler, clock))
{
    error_code ec;
    m_state->stream.socket().set_option(tcp::no_delay(true), ec);
}

PeerLink::~PeerLink() = default;

asio::awaitable<Result<PeerIdentity>> PeerLink::handshake(LinkEnd end)
{
    m_state->stream.expires_after(handshakeTimeout);
    const auto random = makeSystemRandom();
    wire::Hello mine;
    mine.instance = m_state->settings.self.instance;
    mine.incarnation = static_cast<std::int64_t>(m_state->settings.self.incarnation);
    mine.nonce = makeNonce(*random);
    Result<PeerIdentity> other = fail(ErrorKind::PeerLost);
    if (end == LinkEnd::Dialler)
        other = co_await m_state->dial(std::move(mine));
    else
        other = co_await m_state->listen(std::move(mine));
    if (other) {
        m_state->peerIdentity = *other;
        m_state->authenticated = true;
    }
    co_return other;
}

asio::awaitable<void> PeerLink::run()
{
    const auto state = m_state;
    const auto executor = state->stream.get_executor();
    asio::co_spawn(
        executor, [state] { return state->writeLoop(); }, asio::detached);
    asio::co_spawn(
        executor, [state] { return state->pingLoop(); }, asio::detached);
    co_await state->readLoop();
}

bool PeerLink::send(const wire::Frame& frame)
{
    return m_state->queue(encodeFrame(frame));
}

asio::awaitable<Result<std::unique_ptr<IncomingAnswer>>> PeerLink::forward(wire::Forward forward, Instant deadline)
{
    const auto state = m_state;
    const auto channel = std::make_shared<FrameChannel>(co_await asio::this_coro::executor, maxWaitingAnswerFrames);
    const auto id = state->openStream(channel);
    wire::Frame frame;
    frame.stream = id;
    frame.forward = std::move(forward);
    frame.__isset.forward = true;
    if (!state->queue(encodeFrame(frame))) {
        state->closeStream(id, false);
        co_return tl::unexpected(Error { ErrorKind::PeerLost, "no link to the executing instance", RunState::NotRun, {} });
    }
    auto answer = std::make_unique<PeerAnswer>(state, id, channel, deadline);
    const auto head = co_await answer->readHead();
    if (!head)
        co_return tl::unexpected(head.error());
    co_return answer;
}

void PeerLink::close()
{
    asio::post(m_state->stream.get_executor(), [state = m_state] { state->shutDown(); });
}

} // namespace yuccashift
