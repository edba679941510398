#include "yuccashift/http/inbound.hpp"

#include "yuccashift/http/detail/acknowledgement.hpp"
#include "yuccashift/http/detail/connection_end.hpp"
#include "yuccashift/http/detail/keep_alive.hpp"
#include "yuccashift/http/detail/reset_on_close.hpp"
#include "yuccashift/http/detail/scratch.hpp"
#include "yuccashift/http/error_answer.hpp"
#include "yuccashift/http/request_reader.hpp"
#include "yuccashift/kernel/detail/listen.hpp"
#include "yuccashift/kernel/log.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <unordered_set>
#include <utility>

namespace yuccashift {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

    /** Buffered bytes behind a request in progress at which reading pauses, so that the caller has to wait. */
    constexpr std::size_t readAheadBytes = 64 * 1024;
    /** Bytes that the kernel is expected to receive at least of a connection whose reading has paused. */
    constexpr std::size_t pausedQueueBytes = 64 * 1024;
    /** Interval in which a connection whose input is not read is checked for its close. */
    constexpr milliseconds closeCheckInterval { 100 };
    /** Time for which input is discarded after the last answer, since closing with unread input would reset the connection. */
    constexpr milliseconds lingerTimeout { 1000 };
    /** Maximum time from the end of the header to the end of the body; callers' deadlines are shorter. */
    constexpr milliseconds bodyTimeout { 30000 };
    /** Memory of a connection, including its buffers up to their smallest size. */
    constexpr std::size_t connectionBytes = 8 * 1024;
    /** Buffers up to this size are part of connectionBytes, and are kept. */
    constexpr std::size_t smallBufferBytes = 2 * 1024;
    /** Bytes of answers after which the kernel is asked how many of them the caller has not received. */
    constexpr std::size_t queueCheckBytes = 8 * 1024;
    /** Interval in which connections are checked for callers that do not read their answers. */
    constexpr milliseconds sweepInterval { 1000 };
    /** Refused connections over the limit that are open at a time; any further one is closed at once. */
    constexpr std::size_t maxRefusedConnections = 64;

    /** Delay before accepting again after a failure, in which open connections may end and free a file descriptor. */
    constexpr milliseconds acceptRetryDelay { 50 };

    std::size_t sizeBeyondSmall(const std::string& buf)
    {
        return buf.capacity() > smallBufferBytes ? buf.capacity() : 0;
    }

    std::string_view reasonPhrase(int status)
    {
        const auto text = http::obsolete_reason(static_cast<http::status>(status));
        return { text.data(), text.size() };
    }

    void appendHead(std::string& out, const AnswerHead& head, bool chunked, bool close)
    {
        out.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ").append(reasonPhrase(head.status)).append("\r\n");
        for (const auto& field : head.headers)
            out.append(field.name).append(": ").append(field.value).append("\r\n");
        if (head.length)
            out.append("Content-Length: ").append(std::to_string(*head.length)).append("\r\n");
        else if (chunked)
            out.append("Transfer-Encoding: chunked\r\n");
        out.append(close ? "Connection: close\r\n\r\n" : "\r\n");
    }

    void appendChunk(std::string& out, std::string_view data)
    {
        std::array<char, 16> digits {};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), data.size(), 16).ptr;
        out.append(digits.data(), end).append("\r\n").append(data).append("\r\n");
    }

} // namespace

struct InboundServer::State : std::enable_shared_from_this<InboundServer::State> {
    State(asio::io_context& ioContext, const Clock& serverClock, InboundHandler& requestHandler, MemoryAccount& account)
        : io(ioContext)
        , clock(serverClock)
        , handler(requestHandler)
        , memory(account)
        , acceptor(ioContext)
        , acceptRetryTimer(ioContext)
        , sweepTimer(ioContext)
    {
    }

    void accept();
    /** Accepts again after a delay, in which file descriptors may become free. */
    void acceptLater();
    void open(tcp::socket);
    /** Makes room for a new connection at the expense of another one without a complete request; returns false if there is none. */
    bool giveUpOne();
    /** Checks all connections from time to time. */
    void sweep();

    asio::io_context& io;
    const Clock& clock;
    InboundHandler& handler;
    MemoryAccount& memory;
    tcp::acceptor acceptor;
    asio::steady_timer acceptRetryTimer;
    asio::steady_timer sweepTimer;
    std::unordered_set<detail::InboundSession*> sessions;
    bool stopping = false;
};

namespace detail {

    /** One caller's connection. Handles its requests one at a time, in order. */
    class InboundSession final : public Evictable, public std::enable_shared_from_this<InboundSession> {
    public:
        InboundSession(std::shared_ptr<InboundServer::State> server, tcp::socket socket)
            : m_server(std::move(server))
            , m_socket(std::move(socket))
            , m_timer(m_server->io)
            , m_requestMemory(m_server->memory, MemoryUse::Requests)
            , m_answerMemory(m_server->memory, MemoryUse::Answers)
            , m_activeAt(m_server->clock.now())
        {
            m_server->sessions.insert(this);
        }

        ~InboundSession() override { m_server->sessions.erase(this); }
        InboundSession(const InboundSession&) = delete;
        InboundSession& operator=(const InboundSession&) = delete;

        void start()
        {
            m_requestMemory.setOwner(weak_from_this());
            m_answerMemory.setOwner(weak_from_this());
            m_limits = m_server->handler.limits();
            if (!holdRequest())
                return refuse(ErrorKind::MemoryExhausted);
            armTimer(m_limits.idleTimeout, false);
            waitForInput();
        }

        void refuseConnection() { refuse(ErrorKind::TooManyConnections); }

        void evict() override
        {
            asio::post(m_server->io, [weak = weak_from_this()] {
                if (const auto self = weak.lock())
                    self->onEvicted();
            });
        }

        bool idle() const { return !m_closed && !m_exchange && m_reader.idle() && m_output.empty() && !m_writing && !m_discardingInput; }
        /** Whether only the end of the connection is waited for, or another request. */
        bool closable() const { return idle() || (m_discardingInput && unsent() == 0 && !m_closed); }
        bool receiving() const { return m_requestStarted && !m_discardingInput && !m_closed; }
        Instant activeAt() const { return m_activeAt; }
        Instant requestStartedAt() const { return m_requestStartedAt; }
        void closeIfIdle()
        {
            if (idle())
                close();
        }

        /** Closes the connection if its caller has read nothing for too long; otherwise counts again what the kernel keeps for it. */
        void checkUnread(Instant now)
        {
            if (unsent() > 0 && now - m_writtenAt >= m_limits.sendTimeout) {
                logInfo("closing a caller connection: its answer is not read", { { "unsent_bytes", unsent() } });
                return close();
            }
            if (m_queuedBytes > 0)
                countQueued();
        }

        void append(std::string_view bytes) { m_output.append(bytes); }
        std::string& out() { return m_output; }
        std::size_t unsent() const { return m_output.size() + m_outputInFlight.size() - m_sentInFlight; }
        bool closesAfterAnswer() const { return m_closeAfterAnswer || m_server->handler.shouldCloseConnections(); }
        void setCloseAfterAnswer() { m_closeAfterAnswer = true; }
        /** Lets any close of the connection reset it until the whole answer is written, also one by the end of the process. */
        void setResetUnlessWritten()
        {
            if (const auto ec = detail::setResetOnClose(m_socket))
                logWarning("cannot mark a caller connection for a reset; a broken answer would look complete", { { "reason", ec.message() } });
        }

        void flush()
        {
            if (m_closed || m_output.empty())
                return;
            if (!m_writing)
                m_writtenAt = m_server->clock.now();
            if (!holdAnswer())
                return close();
            if (m_writing)
                return;
            m_writing = true;
            std::swap(m_outputInFlight, m_output);
            m_sentInFlight = 0;
            write();
        }

        void exchangeEnded(bool close)
        {
            auto exchange = std::move(m_exchange);
            m_exchange.reset();
            m_exchangeBytes = 0;
            m_activeAt = m_server->clock.now();
            probeSilence(false);
            if (close) {
                m_discardingInput = true;
                m_reader.clear();
                holdRequest();
                flush();
                shutDownIfWritten();
                return;
            }
            flush();
            holdRequest();
            armTimer(m_server->handler.limits().idleTimeout, false);
            // Posted, since the code that ended the answer is still on the stack.
            asio::post(m_server->io, [self = shared_from_this()] { self->parseInput(); });
        }

        void close()
        {
            if (m_closed)
                return;
            m_closed = true;
            error_code ec;
            m_timer.cancel();
            m_socket.close(ec);
            notifyDisconnect();
        }

        bool callerHasClosed() { return detail::connectionEnd(m_socket.native_handle()) != detail::ConnectionEnd::None; }

    private:
        void waitForInput()
        {
            if (m_closed || m_waitingForInput)
                return;
            m_waitingForInput = true;
            m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& ec) {
                self->m_waitingForInput = false;
                if (!ec)
                    self->readInput();
            });
        }

        void readInput()
        {
            if (m_closed)
                return;
            auto& buf = scratch();
            error_code ec;
            const auto n = m_socket.read_some(asio::buffer(buf), ec);
            if (ec == asio::error::would_block || ec == asio::error::try_again)
                return waitForInput();
            if (ec)
                return close();
            if (m_discardingInput)
                return waitForInput();
            m_reader.append({ buf.data(), n });
            parseInput();
        }

        /** Whether input is a later request, and is not parsed before the current answer is written. */
        bool answering() const { return m_exchange || unsent() > 0; }

        /** Reads on, or looks only for the caller's close if enough is read ahead of a request in progress. */
        void readAhead()
        {
            const bool pauses = answering() && m_reader.bufferedBytes() >= readAheadBytes;
            if (std::exchange(m_paused, pauses) != pauses || m_reader.bufferedBytes() > smallBufferBytes) {
                if (!holdRequest())
                    return close();
            }
            if (!pauses)
                waitForInput();
            else if (m_exchange)
                watchForClose();
        }

        void watchForClose()
        {
            m_timer.expires_after(closeCheckInterval);
            m_timer.async_wait([weak = weak_from_this()](const error_code& ec) {
                const auto self = weak.lock();
                if (ec || !self || self->m_closed || !self->m_exchange || self->m_waitingForInput)
                    return;
                if (self->callerHasClosed() || !self->holdRequest())
                    self->close();
                else
                    self->watchForClose();
            });
        }

        void parseInput()
        {
            if (m_closed || m_discardingInput || m_reader.idle() || answering())
                return readAhead();
            if (!std::exchange(m_requestStarted, true)) {
                m_limits = m_server->handler.limits();
                m_requestStartedAt = m_server->clock.now();
                armTimer(m_limits.headerTimeout, true);
            }
            const auto advanced = m_reader.advance({ m_limits.maxHeaderBytes, m_limits.maxBodyBytes });
            if (!advanced)
                return refuse(advanced.error().kind);
            if (m_reader.headerComplete() && !m_headerSeen)
                onHeader();
            if (m_reader.complete())
                return dispatchRequest();
            if (!holdRequest())
                return refuse(ErrorKind::MemoryExhausted);
            readAhead();
        }

        void onHeader()
        {
            m_headerSeen = true;
            armTimer(bodyTimeout, true);
            if (m_reader.expectsContinue()) {
                m_output += "HTTP/1.1 100 Continue\r\n\r\n";
                flush();
            }
        }

        void dispatchRequest()
        {
            m_timer.cancel();
            m_requestStarted = false;
            m_headerSeen = false;
            auto received = m_reader.take();
            // The body is copied while it is sent on.
            m_exchangeBytes = received.bytes + received.message.body.size();
            m_exchange = std::make_shared<InboundExchange>(shared_from_this(), std::move(received.message), m_server->clock.now());
            if (!holdRequest()) {
                m_exchange.reset();
                return refuse(ErrorKind::MemoryExhausted);
            }
            probeSilence(m_server->handler.probesSilentCallers());
            m_closeAfterAnswer = !received.keepAlive;
            m_http10 = received.http10;
            m_server->handler.onRequest(m_exchange);
            readAhead();
        }

        /** While a request is in progress, a caller that does not answer keep-alive probes counts as gone. */
        void probeSilence(bool on)
        {
            if (std::exchange(m_probesSilence, on) == on)
                return;
            if (on)
                detail::setKeepAliveTimes(m_socket);
            // Best effort: the request's time limit ends it in any case.
            (void)detail::setKeepAlive(m_socket, on);
        }

        void refuse(ErrorKind kind)
        {
            if (m_closed)
                return;
            const Error error { kind, {}, {}, {} };
            auto head = errorHead(error);
            const auto body = errorBody(error, {});
            head.length = body.size();
            m_server->handler.onRefusal(error, head);
            appendHead(m_output, head, false, true);
            m_output += body;
            m_discardingInput = true;
            m_requestStarted = false;
            m_reader.clear();
            m_exchangeBytes = 0;
            m_requestMemory.release();
            linger();
            flush();
            waitForInput();
        }

        void write()
        {
            m_socket.async_write_some(asio::buffer(std::string_view(m_outputInFlight).substr(m_sentInFlight)), [self = shared_from_this()](const error_code& ec, std::size_t n) { self->onWritten(ec, n); });
        }

        void onWritten(const error_code& ec, std::size_t n)
        {
            m_sentInFlight += n;
            m_sentUncounted += n;
            m_writtenAt = m_server->clock.now();
            if (ec || m_closed) {
                m_writing = false;
                return close();
            }
            if (m_sentInFlight < m_outputInFlight.size()) {
                if (m_sentUncounted >= queueCheckBytes)
                    countQueued();
                return m_closed ? void() : write();
            }
            m_writing = false;
            m_sentInFlight = 0;
            m_outputInFlight.clear();
            if (m_outputInFlight.capacity() > smallBufferBytes)
                m_outputInFlight = {};
            if (m_output.empty() && m_output.capacity() > smallBufferBytes)
                m_output = {};
            if (m_sentUncounted >= queueCheckBytes)
                countQueued();
            else
                holdAnswer();
            if (!m_output.empty())
                return flush();
            if (m_exchange && m_exchange->m_onDrained)
                m_exchange->m_onDrained();
            shutDownIfWritten();
            if (!m_exchange && !m_reader.idle())
                parseInput();
        }

        /** Asks the kernel how many bytes of answers it keeps since the caller has not received them. */
        void countQueued()
        {
            m_sentUncounted = 0;
            m_queuedBytes = static_cast<std::size_t>(std::max(0, detail::unacknowledgedBytes(m_socket).value_or(0)));
            if (!holdAnswer())
                close();
        }

        /** Counts what has been received. A request that has arrived and is handled is not evicted for others. */
        bool holdRequest()
        {
            const bool incomplete = !m_exchange && !m_reader.idle();
            const auto kept = m_exchangeBytes + m_reader.heldBytes() + (m_paused ? std::max(pausedQueueBytes, waitingBytes()) : 0);
            const HeldMemory held { connectionBytes + (kept > smallBufferBytes ? kept : 0), incomplete || m_paused, incomplete ? m_requestStartedAt : m_activeAt };
            if (held.bytes == m_heldRequest.bytes && held.evictable == m_heldRequest.evictable)
                return true;
            m_heldRequest = held;
            return m_requestMemory.resize(held);
        }

        /** Bytes that the kernel has received and that are not read. */
        std::size_t waitingBytes() const
        {
            error_code ec;
            const auto n = m_socket.available(ec);
            return ec ? 0 : n;
        }

        /** Counts what is not delivered. */
        bool holdAnswer()
        {
            const auto bytes = sizeBeyondSmall(m_output) + sizeBeyondSmall(m_outputInFlight) + m_queuedBytes;
            if (bytes == 0 && m_heldAnswerBytes == 0)
                return true;
            m_heldAnswerBytes = bytes;
            return m_answerMemory.resize({ bytes, true, m_writtenAt });
        }

        void onEvicted()
        {
            if (m_closed || m_discardingInput)
                return;
            if (!answering() && !m_reader.idle())
                return refuse(ErrorKind::MemoryExhausted);
            if (m_paused || unsent() > 0 || m_queuedBytes > 0)
                return close();
            // What was held has been delivered in the meantime.
            m_answerMemory.release();
            m_requestMemory.release();
            m_heldRequest = {};
            holdRequest();
        }

        /** Ends the connection some time after its last answer, whether that is read or not. */
        void linger()
        {
            m_timer.expires_after(lingerTimeout);
            m_timer.async_wait([self = shared_from_this()](const error_code& ec) {
                if (!ec)
                    self->close();
            });
        }

        void shutDownIfWritten()
        {
            if (!m_discardingInput || m_writing || !m_output.empty() || m_closed)
                return;
            auto ec = detail::setResetOnClose(m_socket, false);
            m_socket.shutdown(tcp::socket::shutdown_send, ec);
            linger();
            waitForInput();
        }

        /** On expiry refuses an incomplete request if `requestStarted`, otherwise closes the idle connection. */
        void armTimer(milliseconds limit, bool requestStarted)
        {
            m_timer.expires_after(limit);
            m_timer.async_wait([weak = weak_from_this(), limit, requestStarted](const error_code& ec) {
                const auto self = weak.lock();
                if (ec || !self || self->m_exchange || self->m_discardingInput)
                    return;
                if (requestStarted)
                    self->refuse(ErrorKind::SlowSender);
                else if (self->unsent() > 0)
                    self->armTimer(limit, false);
                else
                    self->close();
            });
        }

        void notifyDisconnect()
        {
            if (!m_exchange)
                return;
            auto exchange = std::move(m_exchange);
            m_exchange.reset();
            exchange->m_disconnected = true;
            if (exchange->m_onDisconnect)
                exchange->m_onDisconnect();
        }

        friend class yuccashift::InboundExchange;

        std::shared_ptr<InboundServer::State> m_server;
        tcp::socket m_socket;
        asio::steady_timer m_timer;
        MemoryHolder m_requestMemory;
        MemoryHolder m_answerMemory;
        /** When the last exchange ended, or the connection was accepted. */
        Instant m_activeAt;
        /** When the kernel last took bytes of an answer. */
        Instant m_writtenAt {};
        Instant m_requestStartedAt {};
        /** As of the start of the current request. */
        InboundLimits m_limits;
        RequestReader m_reader;
        std::string m_output;
        std::string m_outputInFlight;
        std::size_t m_sentInFlight = 0;
        /** Bytes that were sent since the kernel was last asked what it keeps, and what it kept then. */
        std::size_t m_sentUncounted = 0;
        std::size_t m_queuedBytes = 0;
        std::size_t m_heldAnswerBytes = 0;
        HeldMemory m_heldRequest;
        std::shared_ptr<InboundExchange> m_exchange;
        /** Memory of the request in progress. */
        std::size_t m_exchangeBytes = 0;
        /** Whether bytes of an incomplete request have arrived. */
        bool m_requestStarted = false;
        bool m_headerSeen = false;
        bool m_waitingForInput = false;
        /** Whether input is left to the kernel. */
        bool m_paused = false;
        bool m_writing = false;
        bool m_closed = false;
        /** Whether the kernel closes the connection when keep-alive probes are not answered. */
        bool m_probesSilence = false;
        /** The last answer has been queued; input is discarded until the connection closes. */
        bool m_discardingInput = false;
        bool m_closeAfterAnswer = false;
        bool m_http10 = false;
    };

} // namespace detail

InboundExchange::InboundExchange(std::shared_ptr<detail::InboundSession> session, RequestMessage request, Instant arrivedAt)
    : m_session(std::move(session))
    , m_request(std::move(request))
    , m_arrivedAt(arrivedAt)
    , m_bodiless(m_request.method == "HEAD")
{
}

void InboundExchange::sendHead(const AnswerHead& head)
{
    if (m_disconnected || m_headSent)
        return;
    m_headSent = true;
    m_chunked = !head.length && !m_session->m_http10;
    if (!head.length && !m_chunked) {
        m_session->setCloseAfterAnswer();
        m_session->setResetUnlessWritten();
    }
    if (m_session->closesAfterAnswer())
        m_session->setCloseAfterAnswer();
    appendHead(m_session->out(), head, m_chunked, m_session->closesAfterAnswer());
}

void InboundExchange::sendBody(std::string_view data)
{
    if (m_disconnected || data.empty() || m_bodiless)
        return;
    if (m_chunked)
        appendChunk(m_session->out(), data);
    else
        m_session->append(data);
    m_session->flush();
}

void InboundExchange::finish()
{
    if (m_disconnected || m_ended)
        return;
    m_ended = true;
    if (m_chunked && !m_bodiless)
        m_session->out() += "0\r\n\r\n";
    m_onDisconnect = nullptr;
    m_onDrained = nullptr;
    m_session->exchangeEnded(m_session->m_closeAfterAnswer);
}

void InboundExchange::sendComplete(AnswerHead head, std::string_view body)
{
    const bool lengthIsKnown = !body.empty() || !m_bodiless;
    if (lengthIsKnown)
        head.length = body.size();
    sendHead(head);
    if (!m_disconnected && !m_bodiless)
        m_session->append(body);
    finish();
}

void InboundExchange::abort()
{
    if (m_disconnected || m_ended)
        return;
    m_ended = true;
    m_onDisconnect = nullptr;
    m_onDrained = nullptr;
    m_session->close();
}

bool InboundExchange::checkDisconnected()
{
    if (!m_disconnected && !m_ended && m_session->callerHasClosed())
        m_session->close();
    return m_disconnected;
}

std::size_t InboundExchange::unsentBytes() const
{
    return m_session->unsent();
}

InboundHandler::~InboundHandler() = default;

void InboundServer::State::accept()
{
    acceptor.async_accept([self = shared_from_this()](const error_code& ec, tcp::socket socket) {
        if (self->stopping)
            return;
        if (!ec) {
            self->open(std::move(socket));
        } else if (ec != asio::error::operation_aborted) {
            logWarning("failed to accept a connection", { { "reason", ec.message() } });
            return self->acceptLater();
        }
        self->accept();
    });
}

void InboundServer::State::open(tcp::socket socket)
{
    const auto limit = handler.limits().maxConnections;
    if (sessions.size() >= limit + maxRefusedConnections)
        return;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const bool full = sessions.size() >= limit && !giveUpOne();
    const auto session = std::make_shared<detail::InboundSession>(shared_from_this(), std::move(socket));
    if (full)
        session->refuseConnection();
    else
        session->start();
}

bool InboundServer::State::giveUpOne()
{
    detail::InboundSession* longestIdle = nullptr;
    detail::InboundSession* longestReceiving = nullptr;
    for (auto* it : sessions) {
        if (it->closable() && (!longestIdle || it->activeAt() < longestIdle->activeAt()))
            longestIdle = it;
        if (it->receiving() && (!longestReceiving || it->requestStartedAt() < longestReceiving->requestStartedAt()))
            longestReceiving = it;
    }
    if (longestIdle)
        longestIdle->close();
    else if (longestReceiving)
        longestReceiving->refuseConnection();
    return longestIdle || longestReceiving;
}

void InboundServer::State::sweep()
{
    sweepTimer.expires_after(sweepInterval);
    sweepTimer.async_wait([weak = weak_from_this()](const error_code& ec) {
        const auto self = weak.lock();
        if (ec || !self || self->stopping)
            return;
        std::vector<std::shared_ptr<detail::InboundSession>> all;
        all.reserve(self->sessions.size());
        for (auto* it : self->sessions)
            all.push_back(it->shared_from_this());
        const auto now = self->clock.now();
        for (const auto& it : all)
            it->checkUnread(now);
        self->sweep();
    });
}

void InboundServer::State::acceptLater()
{
    acceptRetryTimer.expires_after(acceptRetryDelay);
    acceptRetryTimer.async_wait([self = shared_from_this()](const error_code& ec) {
        if (!ec && !self->stopping)
            self->accept();
    });
}

InboundServer::InboundServer(asio::io_context& io, const Clock& clock, InboundHandler& handler, MemoryAccount& memory)
    : m_state(std::make_shared<State>(io, clock, handler, memory))
{
}

InboundServer::~InboundServer()
{
    stop();
}

Result<Endpoint> InboundServer::listen(const Endpoint& endpoint)
{
    auto bound = detail::listenOn(m_state->acceptor, endpoint);
    if (bound) {
        m_state->accept();
        m_state->sweep();
    }
    return bound;
}

void InboundServer::stop()
{
    m_state->stopping = true;
    error_code ec;
    m_state->acceptor.close(ec);
    m_state->acceptRetryTimer.cancel();
    m_state->sweepTimer.cancel();
    const std::vector<detail::InboundSession*> sessions(m_state->sessions.begin(), m_state->sessions.end());
    for (auto* session : sessions)
        session->closeIfIdle();
}

bool InboundServer::hasUnsentBytes() const
{
    return std::ranges::any_of(m_state->sessions, [](const auto* it) { return it->unsent() > 0; });
}

std::size_t InboundServer::connections() const
{
    return m_state->sessions.size();
}

} // namespace yuccashift
