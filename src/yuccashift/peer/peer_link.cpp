#include "yuccashift/peer/peer_link.hpp"

#include "peer_types.h"
#include "yuccashift/answers/stream_intake.hpp"
#include "yuccashift/kernel/detail/await.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/peer/codec.hpp"

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace yuccashift {

namespace asio = boost::asio;
using boost::system::error_code;
using detail::awaitTuple;
using tcp = asio::ip::tcp;

namespace {

    constexpr std::size_t outgoingFrames = 4096;
    /** Frames of one answer that may wait for its reader; more cancel the answer. */
    constexpr std::size_t waitingAnswerFrames = 4096;
    constexpr seconds handshakeTimeout { 2 };

    using FrameChannel = asio::experimental::concurrent_channel<void(error_code, std::shared_ptr<wire::Frame>)>;
    using BytesChannel = asio::experimental::concurrent_channel<void(error_code, std::string)>;

    wire::Frame controlFrame()
    {
        wire::Frame frame;
        frame.stream = 0;
        return frame;
    }

    Error toError(const wire::AnswerEnd& end)
    {
        const auto state = end.runState >= 0 && end.runState <= static_cast<int>(RunState::OutcomeUnknown)
            ? static_cast<RunState>(end.runState)
            : RunState::OutcomeUnknown;
        return { errorKindFromCode(end.errorCode), end.detail, state, {} };
    }

    AnswerHead toHead(const wire::AnswerHead& wireHead)
    {
        AnswerHead head;
        head.status = wireHead.status;
        for (const auto& field : wireHead.headers)
            head.headers.push_back({ field.name, field.value });
        return head;
    }

} // namespace

PeerHandler::~PeerHandler() = default;

struct PeerLink::State : std::enable_shared_from_this<PeerLink::State> {
    State(tcp::socket socket, LinkSettings linkSettings, PeerHandler& peerHandler, const Clock& linkClock)
        : stream(std::move(socket))
        , outgoing(stream.get_executor(), outgoingFrames)
        , settings(std::move(linkSettings))
        , handler(peerHandler)
        , clock(linkClock)
    {
    }

    asio::awaitable<Result<wire::Frame>> readFrame();
    asio::awaitable<Result<wire::Hello>> readHello();
    asio::awaitable<bool> writeHello(const wire::Hello&);
    asio::awaitable<Result<PeerIdentity>> dial(wire::Hello mine);
    asio::awaitable<Result<PeerIdentity>> listen(wire::Hello mine);
    asio::awaitable<void> readLoop();
    asio::awaitable<void> writeLoop();
    asio::awaitable<void> pingLoop();
    asio::awaitable<void> execute(std::int64_t stream, wire::Forward);
    void dispatch(wire::Frame&&);
    void deliver(wire::Frame&&);
    bool queue(std::string bytes);
    void shutDown();
    std::int64_t openStream(const std::shared_ptr<FrameChannel>&);
    void forgetStream(std::int64_t stream, bool cancel);
    bool isCancelled(std::int64_t stream);

    boost::beast::tcp_stream stream;
    BytesChannel outgoing;
    LinkSettings settings;
    PeerHandler& handler;
    const Clock& clock;
    PeerIdentity other;
    std::atomic<bool> closed { false };
    std::vector<std::uint8_t> buffer;
    // Answers awaited here, and streams executed here which their origin cancelled.
    std::mutex mutex;
    std::int64_t lastStream = 0;
    std::unordered_map<std::int64_t, std::shared_ptr<FrameChannel>> awaited;
    std::unordered_set<std::int64_t> executing;
    StreamIntake intake;
};

namespace {

    /** Sends an answer back over the link that brought the request. */
    class PeerAnswerSink final : public AnswerSink {
    public:
        PeerAnswerSink(std::shared_ptr<PeerLink::State> state, std::int64_t stream)
            : m_state(std::move(state))
            , m_stream(stream)
        {
        }

        asio::awaitable<bool> head(AnswerHead head) override
        {
            m_started = true;
            wire::AnswerHead wireHead;
            wireHead.status = head.status;
            for (auto& field : head.headers) {
                wire::Header header;
                header.name = std::move(field.name);
                header.value = std::move(field.value);
                wireHead.headers.push_back(std::move(header));
            }
            auto frame = newFrame();
            frame.__set_answerHead(wireHead);
            co_return co_await write(frame);
        }

        asio::awaitable<bool> chunk(std::string_view data) override
        {
            wire::AnswerChunk chunk;
            chunk.offset = m_offset;
            chunk.data = std::string(data);
            m_offset += static_cast<std::int64_t>(data.size());
            auto frame = newFrame();
            frame.__set_answerChunk(chunk);
            co_return co_await write(frame);
        }

        asio::awaitable<bool> end() override
        {
            co_return co_await writeEnd(std::nullopt, RunState::Ran);
        }

        asio::awaitable<void> fail(const Error& error, const HeaderFields&) override
        {
            co_await writeEnd(error, error.effectiveRunState());
        }

        bool started() const override { return m_started; }

        /** Ends an answer that its executor left without an end. */
        asio::awaitable<void> finish()
        {
            if (!m_ended) {
                const Error error { ErrorKind::AnswerIncomplete, "the answer was not finished", {}, {} };
                co_await fail(error, HeaderFields());
            }
        }

    private:
        wire::Frame newFrame() const
        {
            wire::Frame frame;
            frame.stream = m_stream;
            return frame;
        }

        asio::awaitable<bool> writeEnd(std::optional<Error> error, RunState runState)
        {
            m_ended = true;
            wire::AnswerEnd end;
            if (error) {
                end.errorCode = error->code();
                end.detail = error->detail;
            }
            end.runState = static_cast<int>(runState);
            end.length = m_offset;
            auto frame = newFrame();
            frame.__set_answerEnd(end);
            co_return co_await write(frame);
        }

        asio::awaitable<bool> write(const wire::Frame& frame)
        {
            if (m_state->closed || m_state->isCancelled(m_stream))
                co_return false;
            const auto [ec] = co_await m_state->outgoing.async_send(error_code(), encodeFrame(frame), awaitTuple);
            co_return !ec;
        }

        std::shared_ptr<PeerLink::State> m_state;
        std::int64_t m_stream;
        std::int64_t m_offset = 0;
        bool m_started = false;
        bool m_ended = false;
    };

    /** An answer that arrives over a link. */
    class PeerAnswer final : public IncomingAnswer {
    public:
        PeerAnswer(std::shared_ptr<PeerLink::State> state, std::int64_t stream, std::shared_ptr<FrameChannel> channel, Instant deadline)
            : m_state(std::move(state))
            , m_stream(stream)
            , m_channel(std::move(channel))
            , m_deadline(deadline)
        {
        }

        ~PeerAnswer() override { m_state->forgetStream(m_stream, !m_ended); }

        const AnswerHead& head() const override { return m_head; }

        asio::awaitable<Result<void>> readHead()
        {
            const auto frame = co_await receive();
            if (!frame)
                co_return tl::unexpected(frame.error());
            if ((*frame)->__isset.answerEnd)
                co_return tl::unexpected(ended(**frame));
            if (!(*frame)->__isset.answerHead)
                co_return fail(ErrorKind::AnswerIncomplete, "an answer without its head");
            m_head = toHead((*frame)->answerHead);
            co_return Result<void> {};
        }

        asio::awaitable<Result<std::string_view>> next() override
        {
            auto frame = co_await receive();
            if (!frame)
                co_return tl::unexpected(frame.error());
            if ((*frame)->__isset.answerEnd) {
                if (!(*frame)->answerEnd.errorCode.empty() || (*frame)->answerEnd.length != m_offset)
                    co_return tl::unexpected(ended(**frame));
                m_ended = true;
                co_return std::string_view {};
            }
            if (!(*frame)->__isset.answerChunk || (*frame)->answerChunk.offset != m_offset)
                co_return fail(ErrorKind::AnswerIncomplete, "a part of the answer is missing");
            m_current = std::move(*frame);
            m_offset += static_cast<std::int64_t>(m_current->answerChunk.data.size());
            co_return std::string_view(m_current->answerChunk.data);
        }

    private:
        Error ended(const wire::Frame& frame)
        {
            m_ended = true;
            if (frame.answerEnd.errorCode.empty())
                return { ErrorKind::AnswerIncomplete, "the answer is shorter than it should be", {}, {} };
            return toError(frame.answerEnd);
        }

        asio::awaitable<Result<std::shared_ptr<wire::Frame>>> receive()
        {
            asio::steady_timer timer(co_await asio::this_coro::executor);
            timer.expires_at(m_deadline);
            // The channel outlives the wait, and cancelling an idle channel is harmless.
            timer.async_wait([channel = m_channel](error_code ec) {
                if (!ec)
                    channel->cancel();
            });
            auto [ec, frame] = co_await m_channel->async_receive(awaitTuple);
            if (!ec)
                co_return std::move(frame);
            if (ec == asio::experimental::error::channel_cancelled)
                co_return fail(ErrorKind::DeadlineExceeded, "the executing instance did not answer in time");
            co_return fail(ErrorKind::PeerLost, "the link to the executing instance was lost");
        }

        std::shared_ptr<PeerLink::State> m_state;
        std::int64_t m_stream;
        std::shared_ptr<FrameChannel> m_channel;
        Instant m_deadline;
        AnswerHead m_head;
        std::shared_ptr<wire::Frame> m_current;
        std::int64_t m_offset = 0;
        bool m_ended = false;
    };

} // namespace

asio::awaitable<Result<wire::Frame>> PeerLink::State::readFrame()
{
    std::array<std::uint8_t, frameLengthBytes> prefix {};
    const auto [prefixEc, n] = co_await asio::async_read(stream, asio::buffer(prefix), awaitTuple);
    if (prefixEc)
        co_return fail(ErrorKind::PeerLost, prefixEc.message());
    const auto size = decodeFrameLength(prefix);
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

// Dialler: hello; listener: hello with proof; dialler: hello with proof.
asio::awaitable<Result<PeerIdentity>> PeerLink::State::dial(wire::Hello mine)
{
    const bool greeted = co_await writeHello(mine);
    if (!greeted)
        co_return fail(ErrorKind::PeerLost);
    const auto theirs = co_await readHello();
    if (!theirs)
        co_return tl::unexpected(theirs.error());
    if (!checkProof(settings.key, LinkEnd::Listener, *theirs, mine, theirs->proof))
        co_return fail(ErrorKind::Unauthenticated, "the listener's proof is wrong");
    mine.proof = makeProof(settings.key, LinkEnd::Dialler, mine, *theirs);
    const bool taken = co_await writeHello(mine);
    if (!taken)
        co_return fail(ErrorKind::PeerLost);
    co_return PeerIdentity { theirs->instance, static_cast<Incarnation>(theirs->incarnation) };
}

asio::awaitable<Result<PeerIdentity>> PeerLink::State::listen(wire::Hello mine)
{
    const auto theirs = co_await readHello();
    if (!theirs)
        co_return tl::unexpected(theirs.error());
    mine.proof = makeProof(settings.key, LinkEnd::Listener, mine, *theirs);
    const bool taken = co_await writeHello(mine);
    if (!taken)
        co_return fail(ErrorKind::PeerLost);
    const auto proven = co_await readHello();
    if (!proven)
        co_return tl::unexpected(proven.error());
    if (!checkProof(settings.key, LinkEnd::Dialler, *theirs, mine, proven->proof))
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
    const std::lock_guard lock(mutex);
    for (auto& [id, channel] : awaited)
        channel->close();
    awaited.clear();
}

std::int64_t PeerLink::State::openStream(const std::shared_ptr<FrameChannel>& channel)
{
    const std::lock_guard lock(mutex);
    const auto id = ++lastStream;
    // A closed channel tells the reader at once that the link is gone.
    if (closed)
        channel->close();
    else
        awaited.emplace(id, channel);
    return id;
}

void PeerLink::State::forgetStream(std::int64_t id, bool cancel)
{
    {
        const std::lock_guard lock(mutex);
        if (awaited.erase(id) == 0)
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
    return !executing.contains(id);
}

void PeerLink::State::deliver(wire::Frame&& frame)
{
    const std::lock_guard lock(mutex);
    const auto it = awaited.find(frame.stream);
    // A late frame of a finished stream belongs to nobody.
    if (it == awaited.end())
        return;
    const auto channel = it->second;
    if (!channel->try_send(error_code(), std::make_shared<wire::Frame>(std::move(frame)))) {
        channel->close();
        awaited.erase(it);
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
        const std::lock_guard lock(mutex);
        executing.erase(frame.stream);
        return;
    }
    if (!frame.__isset.forward) {
        handler.onControl(other, frame);
        return;
    }
    {
        const std::lock_guard lock(mutex);
        // Not only what is executing counts: a late double of a refused one must not run.
        if (!intake.accept(frame.stream))
            return;
        executing.insert(frame.stream);
    }
    asio::co_spawn(
        stream.get_executor(),
        [self = shared_from_this(), id = frame.stream, forward = std::move(frame.forward)]() mutable { return self->execute(id, std::move(forward)); },
        asio::detached);
}

asio::awaitable<void> PeerLink::State::execute(std::int64_t id, wire::Forward forward)
{
    PeerAnswerSink sink(shared_from_this(), id);
    co_await handler.onForward(other, std::move(forward), sink);
    co_await sink.finish();
    const std::lock_guard lock(mutex);
    executing.erase(id);
}

asio::awaitable<void> PeerLink::State::readLoop()
{
    while (!closed) {
        stream.expires_after(settings.silenceTimeout);
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
    if (other)
        m_state->other = *other;
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
    const auto channel = std::make_shared<FrameChannel>(co_await asio::this_coro::executor, waitingAnswerFrames);
    const auto id = state->openStream(channel);
    wire::Frame frame;
    frame.stream = id;
    frame.forward = std::move(forward);
    frame.__isset.forward = true;
    if (!state->queue(encodeFrame(frame))) {
        state->forgetStream(id, false);
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
