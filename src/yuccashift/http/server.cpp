#include "yuccashift/http/server.hpp"

#include "yuccashift/http/detail/connection_end.hpp"
#include "yuccashift/http/error_answer.hpp"
#include "yuccashift/http/memory_account.hpp"
#include "yuccashift/http/request_reader.hpp"
#include "yuccashift/kernel/cancellation.hpp"
#include "yuccashift/kernel/detail/await.hpp"
#include "yuccashift/kernel/detail/listen.hpp"
#include "yuccashift/kernel/worker_pool.hpp"

#include <array>
#include <atomic>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <set>
#include <span>

namespace yuccashift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using detail::awaitTuple;
using tcp = asio::ip::tcp;

namespace {

    constexpr unsigned http10 = 10;
    constexpr unsigned http11 = 11;
    constexpr std::size_t readBytes = 4096;
    /** Maximum time for which a connection waits for its next request. */
    constexpr std::chrono::seconds idleTimeout { 60 };
    /** Time after which an idle connection may be closed in favour of a new one. */
    constexpr std::chrono::seconds minIdleTime { 5 };
    /** Maximum time for which the input after a refusal is read and discarded. */
    constexpr std::chrono::milliseconds lingerTimeout { 500 };
    /** A part of an answer may take this long also after the deadline, so that the error of a late request reaches its caller. */
    constexpr milliseconds minSendTime { 1000 };
    /** Interval in which a connection with unread input is checked for its close while a request is handled. */
    constexpr std::chrono::milliseconds closeCheckInterval { 100 };

    /** Memory of a connection, including its buffers up to their smallest size. */
    constexpr std::size_t connectionBytes = 8 * 1024;
    constexpr std::size_t bodyReadBytes = 16 * 1024;
    /** Bytes that the kernel is expected to receive at least behind a request that is handled, once input waits. */
    constexpr std::size_t pausedQueueBytes = 64 * 1024;

    /** One caller's connection. Used only on its event loop, except for the functions that say otherwise. */
    class Session final : public Evictable, public std::enable_shared_from_this<Session> {
    public:
        Session(tcp::socket socket, const ServerLimits& bounds, MemoryAccount& memory)
            : m_stream(std::move(socket))
            , m_bounds(bounds)
            , m_memory(memory, MemoryUse::Requests)
        {
        }

        /** Counts the connection; returns false if there is no memory for it. */
        bool open()
        {
            m_memory.setOwner(weak_from_this());
            return holdIdle();
        }

        beast::tcp_stream& stream() { return m_stream; }
        RequestReader& reader() { return m_reader; }
        const ServerLimits& bounds() const { return m_bounds; }
        bool closing() const { return m_closing; }
        bool evicted() const { return m_evicted; }
        void setIdle(bool idle)
        {
            m_idleSince = Instant::clock::now();
            m_idle = idle;
        }
        /** When the connection became idle; std::nullopt if it is not. May be called on any thread. */
        std::optional<Instant> idleSince() const { return m_idle ? std::optional(m_idleSince.load()) : std::nullopt; }

        /** Counts a request that arrives; returns false if there is no memory for it. */
        bool holdIncoming()
        {
            return m_memory.resize({ connectionBytes + m_reader.heldBytes(), true, m_requestStartedAt });
        }
        /** Counts a request that is handled, with a copy of its body that is sent on. */
        bool holdReceived(const ReceivedRequest& request)
        {
            m_receivedBytes = request.bytes + request.message.body.size();
            return m_memory.resize({ connectionBytes + m_receivedBytes, false, {} });
        }
        /** Counts input behind the request that is handled, which the kernel keeps; returns false if there is no memory for it. */
        bool holdWaitingInput()
        {
            if (m_inputWaitsSince == Instant {})
                m_inputWaitsSince = Instant::clock::now();
            beast::error_code ec;
            const auto waiting = std::max(pausedQueueBytes, m_stream.socket().available(ec));
            return m_memory.resize({ connectionBytes + m_receivedBytes + waiting, true, m_inputWaitsSince });
        }
        /** Counts a connection without a request. */
        bool holdIdle()
        {
            m_inputWaitsSince = {};
            return m_memory.resize({ connectionBytes, false, {} });
        }
        void releaseMemory() { m_memory.release(); }

        /** Refuses the request that is arriving, or closes the connection of one that is handled. May be called on any thread. */
        void evict() override
        {
            asio::post(m_stream.get_executor(), [weak = weak_from_this()] {
                if (const auto self = weak.lock())
                    self->onEvicted();
            });
        }
        /** Lets the watch of the connection find it closed. */
        void shutDown()
        {
            beast::error_code ignored;
            m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        }
        void setReceiving(bool receiving)
        {
            m_receiving = receiving;
            m_requestStartedAt = Instant::clock::now();
        }

        /** Closes the connection as soon as it waits for a request. May be called on any thread. */
        void closeWhenIdle()
        {
            asio::post(m_stream.get_executor(), [self = shared_from_this()] {
                self->m_closing = true;
                if (self->m_idle)
                    self->m_stream.cancel();
            });
        }

    private:
        void onEvicted()
        {
            m_evicted = true;
            if (m_receiving)
                m_stream.cancel();
            else
                shutDown();
        }

        beast::tcp_stream m_stream;
        RequestReader m_reader;
        ServerLimits m_bounds;
        MemoryHolder m_memory;
        std::atomic<bool> m_idle = false;
        std::atomic<Instant> m_idleSince { Instant::clock::now() };
        std::size_t m_receivedBytes = 0;
        Instant m_requestStartedAt {};
        Instant m_inputWaitsSince {};
        bool m_receiving = false;
        bool m_evicted = false;
        bool m_closing = false;
    };

    /** Writes one answer to a caller's connection. */
    class HttpAnswerSink final : public AnswerSink {
    public:
        /** @param bodiless whether the answer must not have a body, as one to a HEAD request */
        HttpAnswerSink(Session& session, unsigned version, bool keepAlive, bool bodiless)
            : m_session(session)
            , m_version(version)
            , m_keepAlive(keepAlive)
            , m_bodiless(bodiless)
        {
        }

        asio::awaitable<bool> head(AnswerHead head) override
        {
            m_started = true;
            m_isEventStream = isEventStream(head);
            m_chunked = !head.length && m_version >= http11;
            m_keepAlive = m_keepAlive && !m_session.closing() && (head.length || m_chunked);
            http::response<http::empty_body> response(static_cast<http::status>(head.status), m_version);
            for (const auto& field : head.headers)
                response.insert(field.name, field.value);
            if (head.length)
                response.content_length(*head.length);
            else
                response.chunked(m_chunked);
            response.keep_alive(m_keepAlive);
            http::response_serializer<http::empty_body> serializer(response);
            m_session.stream().expires_after(m_session.bounds().sendTimeout);
            const auto [ec, n] = co_await http::async_write_header(m_session.stream(), serializer, awaitTuple);
            co_return recordResult(ec);
        }

        void setDeadline(Instant deadline) override { m_deadline = deadline; }

        asio::awaitable<bool> chunk(std::string_view data) override
        {
            if (m_failed || m_bodiless)
                co_return !m_failed;
            const auto untilDeadline = m_deadline ? *m_deadline - Instant::clock::now() : Duration(m_session.bounds().sendTimeout);
            m_session.stream().expires_after(std::clamp<Duration>(untilDeadline, minSendTime, std::max<Duration>(minSendTime, m_session.bounds().sendTimeout)));
            const asio::const_buffer buf(data.data(), data.size());
            if (m_chunked) {
                const auto [ec, n] = co_await asio::async_write(m_session.stream(), http::make_chunk(buf), awaitTuple);
                co_return recordResult(ec);
            }
            const auto [ec, n] = co_await asio::async_write(m_session.stream(), buf, awaitTuple);
            co_return recordResult(ec);
        }

        asio::awaitable<bool> end() override
        {
            if (m_failed)
                co_return false;
            m_ended = true;
            if (!m_chunked || m_bodiless)
                co_return true;
            m_session.stream().expires_after(m_session.bounds().sendTimeout);
            const auto [ec, n] = co_await asio::async_write(m_session.stream(), http::make_chunk_last(), awaitTuple);
            co_return recordResult(ec);
        }

        asio::awaitable<void> fail(const Error& error, const HeaderFields& extra) override
        {
            const auto traceId = traceIdOf(extra);
            if (m_started) {
                // The missing last chunk tells the caller that the answer is incomplete.
                if (m_isEventStream && !m_ended)
                    co_await chunk(errorEvent(error, traceId));
                m_failed = true;
                co_return;
            }
            auto head = errorHead(error);
            head.headers.insert(head.headers.end(), extra.begin(), extra.end());
            const auto body = errorBody(error, traceId);
            co_await sendComplete(*this, std::move(head), body);
        }

        bool headSent() const override { return m_started; }
        /** Whether the connection can be used for another request. */
        bool reusable() const { return m_ended && !m_failed && m_keepAlive; }

    private:
        // Format of traceparent: `00-<trace id>-...`
        static std::string traceIdOf(const HeaderFields& extra)
        {
            constexpr std::size_t versionLength = 3;
            constexpr std::size_t traceIdLength = 32;
            const auto traceparent = findHeader(extra, "traceparent").value_or("");
            return traceparent.size() < versionLength + traceIdLength ? std::string() : std::string(traceparent.substr(versionLength, traceIdLength));
        }

        bool recordResult(const beast::error_code& ec)
        {
            m_failed = m_failed || ec;
            return !m_failed;
        }

        Session& m_session;
        unsigned m_version;
        bool m_keepAlive;
        bool m_bodiless;
        std::optional<Instant> m_deadline;
        bool m_started = false;
        bool m_chunked = false;
        bool m_isEventStream = false;
        bool m_ended = false;
        bool m_failed = false;
    };

    /** Reads and discards input, since closing with unread input resets the connection, and the caller may lose the answer. */
    asio::awaitable<void> discardInput(Session& session)
    {
        std::array<char, readBytes> discarded {};
        session.stream().expires_after(lingerTimeout);
        for (;;) {
            const auto [ec, n] = co_await session.stream().async_read_some(asio::buffer(discarded), awaitTuple);
            if (ec)
                co_return;
        }
    }

    asio::awaitable<void> refuse(Session& session, ErrorKind kind)
    {
        HttpAnswerSink sink(session, http11, false, false);
        const Error error { kind, {}, {}, {} };
        co_await sink.fail(error, HeaderFields());
        beast::error_code ec;
        session.stream().socket().shutdown(tcp::socket::shutdown_send, ec);
        co_await discardInput(session);
    }

    /**
     * Cancels the reading of a request that does not arrive in time. The stream's
     * own timeout would close the socket, and the caller would get no error answer.
     */
    class ReceiveTimer {
    public:
        explicit ReceiveTimer(Session& session)
            : m_timer(session.stream().get_executor(), session.bounds().receiveTimeout)
        {
            session.stream().expires_never();
            m_timer.async_wait([expired = m_expired, self = session.shared_from_this()](beast::error_code ec) {
                if (ec)
                    return;
                *expired = true;
                self->stream().cancel();
            });
        }

        bool expired() const { return *m_expired; }

    private:
        asio::steady_timer m_timer;
        std::shared_ptr<bool> m_expired = std::make_shared<bool>(false);
    };

    /** Receives some bytes of requests. */
    asio::awaitable<beast::error_code> receiveSome(Session& session, std::span<char> buf)
    {
        const auto [ec, n] = co_await session.stream().async_read_some(asio::buffer(buf), awaitTuple);
        session.reader().append({ buf.data(), n });
        co_return ec;
    }

    /** Waits for the first byte of a request. Returns false if the connection ends, times out or is to be closed. */
    asio::awaitable<bool> awaitRequest(Session& session)
    {
        if (!session.reader().idle())
            co_return true;
        if (session.closing())
            co_return false;
        session.setIdle(true);
        session.stream().expires_after(idleTimeout);
        std::array<char, readBytes> buf {};
        const auto ec = co_await receiveSome(session, buf);
        session.setIdle(false);
        co_return !ec;
    }

    /** Receives the rest of the current request. Fails with the error for its caller, or Cancelled if the connection ended. */
    asio::awaitable<Result<void>> receiveRequest(Session& session)
    {
        auto& reader = session.reader();
        const RequestSizeLimits limits { session.bounds().maxHeaderBytes, session.bounds().maxBodyBytes };
        bool headerSeen = false;
        std::array<char, bodyReadBytes> buf {};
        for (;;) {
            const auto advanced = reader.advance(limits);
            if (!advanced)
                co_return advanced;
            if (!session.holdIncoming())
                co_return fail(ErrorKind::MemoryExhausted);
            if (reader.complete())
                co_return Result<void> {};
            if (reader.headerComplete() && !std::exchange(headerSeen, true) && reader.expectsContinue()) {
                const http::response<http::empty_body> proceed(http::status::continue_, http11);
                co_await http::async_write(session.stream(), proceed, awaitTuple);
            }
            const auto ec = co_await receiveSome(session, buf);
            if (session.evicted())
                co_return fail(ErrorKind::MemoryExhausted);
            if (ec)
                co_return fail(ec == asio::error::eof ? ErrorKind::MalformedRequest : ErrorKind::Cancelled);
        }
    }

    /** Reads one request. Returns std::nullopt if there is none; an invalid or late request has been answered with an error by then. */
    asio::awaitable<std::optional<ReceivedRequest>> readRequest(Session& session)
    {
        const bool received = co_await awaitRequest(session);
        if (!received)
            co_return std::nullopt;
        const ReceiveTimer timer(session);
        session.setReceiving(true);
        auto result = co_await receiveRequest(session);
        session.setReceiving(false);
        if (result) {
            auto request = session.reader().take();
            if (session.holdReceived(request))
                co_return request;
            result = fail(ErrorKind::MemoryExhausted);
        }
        session.reader().clear();
        session.releaseMemory();
        if (timer.expired())
            co_await refuse(session, ErrorKind::SlowSender);
        else if (result.error().kind != ErrorKind::Cancelled)
            co_await refuse(session, result.error().kind);
        co_return std::nullopt;
    }

    /**
     * Cancels the handling of a request when its caller closes the connection. A caller that sends no more may still wait
     * for its answer: the connection of one that does not is reset when it gets an interim answer.
     */
    class CloseWatch : public std::enable_shared_from_this<CloseWatch> {
    public:
        CloseWatch(Session& session, unsigned version, const AnswerSink& sink)
            : m_session(session.shared_from_this())
            , m_version(version)
            , m_sink(sink)
            , m_timer(session.stream().get_executor())
            , m_canceller(session.stream().get_executor())
        {
        }

        asio::cancellation_slot slot() { return m_canceller.slot(); }
        bool callerHasClosed() const { return m_canceller.cancelled(); }

        void start()
        {
            m_session->stream().socket().async_wait(tcp::socket::wait_read, [weak = weak_from_this()](const beast::error_code& ec) {
                const auto self = weak.lock();
                if (!ec && self)
                    self->check();
            });
        }

        /** To be called when the request has been handled, while nothing else uses the socket. */
        void stop()
        {
            beast::error_code ec;
            m_timer.cancel();
            m_session->stream().socket().cancel(ec);
        }

    private:
        void check()
        {
            const auto end = detail::connectionEnd(m_session->stream().socket().native_handle());
            if (end == detail::ConnectionEnd::Reset)
                return m_canceller.cancel();
            if (end == detail::ConnectionEnd::SendingClosed)
                sendInterimAnswer();
            else if (!m_session->holdWaitingInput())
                m_session->shutDown();
            // Other input is the next request, which is read after the answer to this one.
            m_timer.expires_after(closeCheckInterval);
            m_timer.async_wait([weak = weak_from_this()](const beast::error_code& ec) {
                const auto self = weak.lock();
                if (!ec && self)
                    self->check();
            });
        }

        // The answer itself does the same from its head on.
        void sendInterimAnswer()
        {
            constexpr std::string_view processing = "HTTP/1.1 102 Processing\r\n\r\n";
            if (m_sink.headSent() || m_version < http11)
                return;
            beast::error_code ec;
            m_session->stream().socket().send(asio::buffer(processing), MSG_DONTWAIT, ec);
        }

        std::shared_ptr<Session> m_session;
        unsigned m_version;
        const AnswerSink& m_sink;
        asio::steady_timer m_timer;
        Canceller m_canceller;
    };

    asio::awaitable<void> handleRequest(RequestHandler& handler, RequestMessage message, AnswerSink& sink)
    {
        // A cancelled operation reports an error instead of throwing, so that what has begun is also counted as ended.
        co_await asio::this_coro::throw_if_cancelled(false);
        co_await handler.handle(std::move(message), sink);
    }

    asio::awaitable<void> serveSession(Session& session, RequestHandler& handler)
    {
        for (;;) {
            auto request = co_await readRequest(session);
            if (!request)
                co_return;
            const unsigned version = request->http10 ? http10 : http11;
            HttpAnswerSink sink(session, version, request->keepAlive, request->message.method == "HEAD");
            // From here on the handler enforces the deadlines.
            session.stream().expires_never();
            auto message = std::move(request->message);
            const auto watch = std::make_shared<CloseWatch>(session, version, sink);
            watch->start();
            co_await asio::co_spawn(session.stream().get_executor(), handleRequest(handler, std::move(message), sink), asio::bind_cancellation_slot(watch->slot(), asio::use_awaitable));
            watch->stop();
            session.holdIdle();
            if (watch->callerHasClosed() || !sink.reusable())
                co_return;
        }
    }

} // namespace

RequestHandler::~RequestHandler() = default;

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(WorkerPool& pool, ServerLimits serverBounds, MemoryAccount& account)
        : workers(pool)
        , memory(account)
        , acceptor(pool.primaryLoop())
        , bounds(serverBounds)
    {
    }

    asio::awaitable<void> run(tcp::socket socket, bool refused);
    asio::awaitable<void> accept();
    /** Closes the connection that has been idle for longest; returns false if none has been for some time. */
    bool closeLongestIdle();

    WorkerPool& workers;
    MemoryAccount& memory;
    tcp::acceptor acceptor;
    const ServerLimits bounds;
    RequestHandler* handler = nullptr;
    std::atomic<std::uint32_t> open { 0 };
    std::mutex mutex;
    std::set<std::shared_ptr<Session>> sessions;
};

asio::awaitable<void> HttpServer::State::run(tcp::socket socket, bool refused)
{
    beast::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    const auto session = std::make_shared<Session>(std::move(socket), bounds, memory);
    if (refused || !session->open()) {
        co_await refuse(*session, ErrorKind::TooManyConnections);
    } else {
        {
            const std::lock_guard lock(mutex);
            sessions.insert(session);
        }
        co_await serveSession(*session, *handler);
        const std::lock_guard lock(mutex);
        sessions.erase(session);
    }
    session->stream().socket().shutdown(tcp::socket::shutdown_both, ec);
    session->stream().close();
    --open;
}

asio::awaitable<void> HttpServer::State::accept()
{
    // Connections over the limit get an error answer, but at most this many at a time; any further ones are closed.
    constexpr std::uint32_t maxConcurrentRefusals = 64;
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        tcp::socket socket(workers.nextLoop());
        const auto [ec] = co_await acceptor.async_accept(socket, awaitTuple);
        if (ec)
            continue;
        if (open >= bounds.maxConnections + maxConcurrentRefusals)
            continue;
        const bool refused = open++ >= bounds.maxConnections && !closeLongestIdle();
        const auto executor = socket.get_executor();
        asio::co_spawn(
            executor, [self, socket = std::move(socket), refused]() mutable { return self->run(std::move(socket), refused); }, asio::detached);
    }
}

bool HttpServer::State::closeLongestIdle()
{
    const std::lock_guard lock(mutex);
    std::shared_ptr<Session> longest;
    auto since = Instant::clock::now() - minIdleTime;
    for (const auto& it : sessions) {
        const auto idleSince = it->idleSince();
        if (idleSince && *idleSince < since) {
            since = *idleSince;
            longest = it;
        }
    }
    if (!longest)
        return false;
    longest->closeWhenIdle();
    return true;
}

HttpServer::HttpServer(WorkerPool& workers, ServerLimits bounds, MemoryAccount& memory)
    : m_state(std::make_shared<State>(workers, bounds, memory))
{
}

HttpServer::~HttpServer() = default;

Result<Endpoint> HttpServer::listen(const Endpoint& endpoint)
{
    return detail::listenOn(m_state->acceptor, endpoint);
}

void HttpServer::serve(RequestHandler& handler)
{
    m_state->handler = &handler;
    asio::co_spawn(
        m_state->acceptor.get_executor(), [state = m_state] { return state->accept(); }, asio::detached);
}

void HttpServer::stop()
{
    asio::post(m_state->acceptor.get_executor(), [state = m_state] {
        beast::error_code ec;
        state->acceptor.close(ec);
    });
    const std::lock_guard lock(m_state->mutex);
    for (const auto& session : m_state->sessions)
        session->closeWhenIdle();
}

std::uint32_t HttpServer::connections() const
{
    return m_state->open;
}

} // namespace yuccashift
