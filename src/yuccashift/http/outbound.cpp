#include "yuccashift/http/outbound.hpp"

#include "yuccashift/http/detail/acknowledgement.hpp"
#include "yuccashift/http/detail/answer_body.hpp"
#include "yuccashift/http/detail/answer_framing.hpp"
#include "yuccashift/http/detail/answer_status.hpp"
#include "yuccashift/http/detail/keep_alive.hpp"
#include "yuccashift/http/detail/orderly_close.hpp"
#include "yuccashift/http/detail/receive_buffer.hpp"
#include "yuccashift/http/detail/reset_on_close.hpp"
#include "yuccashift/http/detail/scratch.hpp"
#include "yuccashift/kernel/log.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace yuccashift {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

    /** Time after which a request is usually acknowledged, so that a silent link is probed for from then on. */
    constexpr Duration firstAcknowledgementCheck = milliseconds(150);
    /** Fraction of the peer's announced idle timeout after which a connection is not reused. */
    constexpr double usableIdleTimeoutFraction = 0.6;
    /** Maximum size of an answer's header in bytes. */
    constexpr std::uint32_t maxAnswerHeaderBytes = 64 * 1024;
    /** Limit on the bytes of answers that are skipped before the one to the request, such as interim answers. */
    constexpr std::size_t maxSkippedBytes = 256 * 1024;
    /** Limit on received bytes that the parser cannot use yet, such as the extension of a chunk. */
    constexpr std::size_t maxUnparsedBytes = 128 * 1024;

    /** A buffer of this size is kept for the next read. */
    constexpr std::size_t smallBufferBytes = 2 * 1024;
    /** What is kept of an answer beyond this size is counted as memory for connections. */
    constexpr std::size_t maxUncountedBytes = 4 * 1024;
    /** Memory of one header field beyond its text, in the parser and in the head that is passed on. */
    constexpr std::size_t fieldBytes = 256;

    using AnswerParser = http::response_parser<detail::AnswerBody>;

    void setOptions(tcp::socket& socket)
    {
        error_code ec;
        socket.set_option(tcp::no_delay(true), ec);
        detail::setKeepAliveTimes(socket);
        socket.non_blocking(true, ec);
        // A request that is given up must not be delivered any more. An idle connection holds nothing that a reset could drop.
        if (const auto resetError = detail::setResetOnClose(socket))
            logWarning("cannot mark a connection for a reset; a request may be delivered after it was given up", { { "reason", resetError.message() } });
    }

    /** Returns the timeout of a `Keep-Alive: timeout=N` header, or std::nullopt if it is absent or not a number. */
    std::optional<Duration> announcedIdleTimeout(const HeaderFields& headers)
    {
        const auto value = findHeader(headers, "Keep-Alive");
        if (!value)
            return {};
        constexpr std::string_view name = "timeout=";
        const auto at = value->find(name);
        if (at == std::string_view::npos)
            return {};
        int limit = 0;
        const auto digits = value->substr(at + name.size());
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), limit);
        if (ec != std::errc())
            return {};
        return seconds(limit);
    }

} // namespace

std::string_view toString(OutboundFailure failure)
{
    switch (failure) {
    case OutboundFailure::NotSent:
        return "not sent";
    case OutboundFailure::Lost:
        return "lost";
    case OutboundFailure::Silent:
        return "silent";
    case OutboundFailure::Truncated:
        break;
    }
    return "truncated";
}

OutboundListener::~OutboundListener() = default;

namespace detail {

    using ConnectionList = std::vector<std::shared_ptr<OutboundConnection>>;

    struct OutboundState {
        OutboundState(asio::io_context& ioContext, const Clock& poolClock, MemoryAccount* account)
            : io(ioContext)
            , clock(poolClock)
            , memory(account)
        {
        }

        asio::io_context& io;
        const Clock& clock;
        MemoryAccount* memory;
        std::unordered_map<std::string, ConnectionList> idle;
        OutboundCounts counts;
    };

    /** One connection with at most one request at a time. */
    class OutboundConnection final : public Evictable, public std::enable_shared_from_this<OutboundConnection> {
    public:
        OutboundConnection(std::shared_ptr<OutboundState> state, std::string poolKey)
            : m_state(std::move(state))
            , m_poolKey(std::move(poolKey))
            , m_socket(m_state->io)
            , m_timer(m_state->io)
        {
        }

        ~OutboundConnection() override = default;
        OutboundConnection(const OutboundConnection&) = delete;
        OutboundConnection& operator=(const OutboundConnection&) = delete;

        void begin(OutboundRequest request, OutboundListener& listener)
        {
            ++m_serial;
            m_listener = &listener;
            m_request = std::move(request);
            m_bodiless = m_request.bytes.starts_with("HEAD ");
            m_sent = false;
            m_writeDone = false;
            m_writeFailed = false;
            m_acknowledged = false;
            m_answerDone = false;
            m_headSeen = false;
            m_paused = false;
            m_skippedBytes = 0;
            m_parser.reset();
            if (m_connected)
                write();
            else
                connect();
        }

        std::uint64_t serial() const { return m_serial; }

        /** Cancels the exchange without calling its listener. Does nothing if the exchange is over or a later one uses this connection. */
        void cancel(std::uint64_t serial)
        {
            if (serial != m_serial || m_answerDone)
                return;
            m_listener = nullptr;
            close();
        }

        bool isReusable(Instant now, Duration maxIdleAge) const
        {
            const auto limit = m_idleTimeout ? std::min(maxIdleAge, std::chrono::duration_cast<Duration>(*m_idleTimeout * usableIdleTimeoutFraction)) : maxIdleAge;
            return !m_closed && now - m_idleSince < limit;
        }

        void close()
        {
            if (m_closed)
                return;
            m_closed = true;
            error_code ec;
            m_timer.cancel();
            m_socket.close(ec);
        }

        void setPaused(std::uint64_t serial, bool paused)
        {
            if (serial != m_serial || m_answerDone)
                return;
            m_paused = paused;
            // The kernel would read on until its largest buffer is full.
            detail::setReceiveBuffer(m_socket, paused ? detail::pausedReceiveBufferBytes : detail::receiveBufferBytes);
            if (!paused)
                waitForInput();
        }

        void evict() override
        {
            asio::post(m_state->io, [weak = weak_from_this(), serial = m_serial] {
                const auto self = weak.lock();
                if (self && serial == self->m_serial && !self->m_closed)
                    self->fail(self->failureWithinAnswer(), "its memory is needed for others");
            });
        }

        void closeAfterAnswer(std::uint64_t serial) { m_closesAfterAnswer = m_closesAfterAnswer || serial == m_serial; }
        bool sent() const { return m_sent; }

    private:
        void connect()
        {
            error_code ec;
            const auto address = asio::ip::make_address(m_request.endpoint.host, ec);
            if (ec) {
                asio::post(m_state->io, [self = shared_from_this()] { self->fail(OutboundFailure::NotSent, "not an address"); });
                return;
            }
            ++m_state->counts.connects;
            m_timer.expires_after(m_request.connectTimeout);
            m_timer.async_wait([weak = weak_from_this()](const error_code& waitError) {
                const auto self = weak.lock();
                if (!waitError && self && !self->m_connected)
                    self->fail(OutboundFailure::NotSent, "no connection in time");
            });
            m_socket.async_connect({ address, m_request.endpoint.port }, [self = shared_from_this()](const error_code& connectError) {
                self->m_timer.cancel();
                if (self->m_closed)
                    return;
                if (connectError)
                    return self->fail(OutboundFailure::NotSent, connectError.message());
                self->m_connected = true;
                setOptions(self->m_socket);
                self->write();
            });
        }

        void write()
        {
            m_sent = true;
            waitForInput();
            watchAcknowledgement(firstAcknowledgementCheck, {});
            asio::async_write(m_socket, asio::buffer(m_request.bytes), [self = shared_from_this()](const error_code& ec, std::size_t) {
                if (self->m_closed)
                    return;
                if (ec)
                    return self->onWriteError(ec);
                self->m_writeDone = true;
                self->m_request.bytes = {};
                if (self->m_answerDone)
                    self->releaseConnection();
            });
        }

        /**
         * A server may answer before it has read the whole request and reset the connection then. Its answer has been received
         * already and is taken if its framing shows that it is whole. The kernel has told of the reset with this error, so that
         * the next reads see what has been received and then the end of the connection, as if it had been closed in order.
         */
        void onWriteError(const error_code& ec)
        {
            if (ec != asio::error::connection_reset && ec != asio::error::broken_pipe)
                return fail(OutboundFailure::Lost, ec.message());
            m_writeFailed = true;
            const auto self = shared_from_this();
            while (!m_closed && !m_answerDone && !m_paused) {
                if (!readInput())
                    return fail(failureWithinAnswer(), ec.message());
            }
        }

        /** Resets the connection if the peer stops acknowledging the request. Once all is acknowledged, keep-alive detects a silent link. */
        void watchAcknowledgement(Duration delay, std::optional<int> unacknowledgedBefore)
        {
            m_timer.expires_after(delay);
            m_timer.async_wait([weak = weak_from_this(), serial = m_serial, unacknowledgedBefore](const error_code& ec) {
                const auto self = weak.lock();
                if (ec || !self || self->m_closed || self->m_answerDone || serial != self->m_serial)
                    return;
                const auto unacknowledged = unacknowledgedBytes(self->m_socket);
                if (!unacknowledged)
                    return logWarning("the system does not tell how much of a request is acknowledged; only its time limit detects a silent link", {});
                if (*unacknowledged == 0 && self->m_writeDone) {
                    self->m_acknowledged = true;
                    return self->probeSilence(true);
                }
                if (!unacknowledgedBefore)
                    return self->watchAcknowledgement(acknowledgementTimeout - firstAcknowledgementCheck, 0);
                // A server may answer before it reads the rest of the request.
                const bool answered = self->m_headSeen && self->m_answerMatches;
                if (*unacknowledged > 0 && *unacknowledged == unacknowledgedBefore && !answered)
                    return self->fail(OutboundFailure::Silent, "the request was not acknowledged in time");
                self->watchAcknowledgement(acknowledgementProgressTimeout, *unacknowledged);
            });
        }

        /**
         * The kernel sends no reset when it gives a connection up, and a link that was silent may later deliver what was sent
         * in the meantime. So probes are on only while an acknowledged request waits for its answer: an idle connection may
         * get a request after the first probe. TCP_USER_TIMEOUT is never set, for the same reason.
         */
        void probeSilence(bool on)
        {
            if (std::exchange(m_probesSilence, on) == on)
                return;
            const auto ec = setKeepAlive(m_socket, on);
            if (ec && !on)
                logWarning("cannot switch keep-alive off; a request may be delivered after it was given up", { { "reason", ec.message() } });
        }

        void waitForInput()
        {
            if (m_waitingForInput || m_closed || m_paused)
                return;
            m_waitingForInput = true;
            m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& ec) {
                self->m_waitingForInput = false;
                if (ec || self->m_closed)
                    return;
                const bool received = self->readInput();
                if (!received || (!self->m_closed && !self->m_answerDone))
                    self->waitForInput();
            });
        }

        /** Reads once; returns false if nothing has been received. */
        bool readInput()
        {
            auto& buf = scratch();
            error_code ec;
            const auto n = m_socket.read_some(asio::buffer(buf), ec);
            if (ec == asio::error::would_block || ec == asio::error::try_again)
                return false;
            if (m_idle || m_answerDone) {
                closeUnexpected();
            } else if (ec) {
                onReadError(ec);
            } else {
                m_input.append(buf.data(), n);
                parse();
                if (!m_closed && !holdInput())
                    fail(failureWithinAnswer(), "no memory for the answer");
            }
            return true;
        }

        OutboundFailure failureWithinAnswer() const { return m_headSeen && m_answerMatches ? OutboundFailure::Truncated : OutboundFailure::Lost; }

        /** Counts what is kept of the answer here; its body is passed on at once. */
        bool holdInput()
        {
            if (m_input.empty() && m_input.capacity() > smallBufferBytes)
                m_input = {};
            const auto kept = m_input.capacity() + m_headBytes;
            if (!m_state->memory || (kept <= maxUncountedBytes && !m_memory))
                return true;
            if (!m_memory) {
                m_memory.emplace(*m_state->memory, MemoryUse::Answers);
                m_memory->setOwner(weak_from_this());
            }
            return m_memory->resize({ kept, true, m_state->clock.now() });
        }

        /** Closes a connection without a request in progress after the peer closed it or sent unsolicited bytes. */
        void closeUnexpected()
        {
            close();
            const auto it = m_state->idle.find(m_poolKey);
            if (it != m_state->idle.end())
                std::erase_if(it->second, [this](const auto& connection) { return connection.get() == this; });
        }

        void onReadError(const error_code& ec)
        {
            // The end of an answer to another request is not the end of the answer that is waited for.
            if (ec == asio::error::eof && m_parser && m_headSeen && m_answerMatches && m_parser->need_eof() && !m_parser->is_done()) {
                // While the request is written, a reset may look like the end of the answer.
                if (!m_writeDone && (m_writeFailed || !isClosedInOrder(m_socket)))
                    return fail(OutboundFailure::Truncated, "the connection was lost before the request was written");
                error_code parseError;
                m_parser->put_eof(parseError);
                if (!parseError)
                    return onAnswerComplete(false);
            }
            if (ec == asio::error::timed_out) {
                m_state->counts.endedUnacknowledged += m_acknowledged ? 0 : 1;
                return fail(OutboundFailure::Silent, m_acknowledged ? "keep-alive probes were not answered" : "the kernel closed the connection before the request was acknowledged");
            }
            fail(failureWithinAnswer(), ec.message());
        }

        void parse()
        {
            while (!m_closed && m_listener && !m_answerDone) {
                if (!m_parser) {
                    m_parser.emplace();
                    m_parser->eager(true);
                    m_parser->header_limit(maxAnswerHeaderBytes);
                    m_parser->body_limit(boost::none);
                    m_parser->skip(m_bodiless);
                    m_headSeen = false;
                }
                error_code ec;
                std::size_t n = 0;
                if (!m_input.empty() && !m_parser->is_done()) {
                    n = m_parser->put(asio::const_buffer(m_input.data(), m_input.size()), ec);
                    m_input.erase(0, n);
                }
                if (ec && ec != http::error::need_more)
                    return fail(m_headSeen ? OutboundFailure::Truncated : OutboundFailure::Lost, ec.message());
                const auto self = shared_from_this();
                if (m_parser->is_header_done() && !m_headSeen)
                    onHeader();
                forwardBody();
                if (m_closed || !m_listener)
                    return;
                if (m_headSeen && !m_answerMatches)
                    m_skippedBytes += n;
                if (m_skippedBytes > maxSkippedBytes)
                    return fail(OutboundFailure::Lost, "too many bytes that belong to other answers");
                if (m_input.size() > maxUnparsedBytes)
                    return fail(m_headSeen ? OutboundFailure::Truncated : OutboundFailure::Lost, "too many bytes that are no part of an answer");
                if (m_parser->is_done()) {
                    if (!m_answerMatches) {
                        m_parser.reset();
                        continue;
                    }
                    return onAnswerComplete(m_parser->keep_alive());
                }
                if (ec == http::error::need_more || n == 0)
                    return;
            }
        }

        void onHeader()
        {
            m_headSeen = true;
            m_headBytes = 0;
            const auto& message = m_parser->get();
            AnswerHead head;
            head.status = static_cast<int>(message.result_int());
            if (!isAnswerStatus(head.status))
                return fail(OutboundFailure::Lost, "status " + std::to_string(head.status) + " is not one of HTTP");
            if (const auto length = m_parser->content_length())
                head.length = static_cast<std::size_t>(*length);
            head.framing = framingOf(*m_parser);
            head.headers.reserve(8);
            for (const auto& field : message) {
                head.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
                m_headBytes += field.name_string().size() + field.value().size() + fieldBytes;
            }
            if (const auto limit = announcedIdleTimeout(head.headers))
                m_idleTimeout = limit;
            const auto owner = head.status >= firstFinalStatus && m_request.ownerOf ? m_request.ownerOf(head) : AnswerOwner::ThisRequest;
            // A server that names the requests of its answers does so in all of them; this one may be a late copy of an earlier answer.
            if (owner == AnswerOwner::Unnamed && m_answersAreNamed)
                return fail(OutboundFailure::Lost, "the answer names no request, unlike those before it on the connection");
            m_answersAreNamed = m_answersAreNamed || (m_request.ownerOf && head.status >= firstFinalStatus && owner == AnswerOwner::ThisRequest);
            m_answerMatches = head.status >= firstFinalStatus && owner != AnswerOwner::AnotherRequest;
            if (m_answerMatches)
                m_listener->onAnswerHead(head);
            else if (head.status >= firstFinalStatus)
                ++m_state->counts.strayAnswers;
        }

        void forwardBody()
        {
            if (!m_headSeen || m_closed)
                return;
            auto& body = m_parser->get().body();
            if (body.empty())
                return;
            if (m_answerMatches && m_listener)
                m_listener->onAnswerBody(body);
            body.clear();
        }

        void onAnswerComplete(bool keepAlive)
        {
            m_answerDone = true;
            // Bytes after a complete answer belong to no request, so the connection cannot be reused.
            m_reusable = keepAlive && m_input.empty() && !m_closesAfterAnswer;
            m_input.clear();
            auto* listener = std::exchange(m_listener, nullptr);
            // If the answer arrived before the request was fully written, the server still expects the rest of the body on this connection.
            if (m_writeDone)
                releaseConnection();
            if (!m_writeDone)
                close();
            if (listener)
                listener->onAnswerEnd();
        }

        void releaseConnection()
        {
            m_parser.reset();
            m_input = {};
            m_headBytes = 0;
            m_memory.reset();
            m_request.ownerOf = nullptr;
            if (!m_reusable)
                return close();
            m_idle = true;
            m_idleSince = m_state->clock.now();
            probeSilence(false);
            m_state->idle[m_poolKey].push_back(shared_from_this());
            waitForInput();
        }

        void fail(OutboundFailure failure, std::string_view reason)
        {
            const std::string text(reason);
            if (failure == OutboundFailure::NotSent)
                ++m_state->counts.connectFailures;
            close();
            if (auto* listener = std::exchange(m_listener, nullptr))
                listener->onAnswerFailure(failure, text);
        }

        friend class yuccashift::OutboundPool;

        std::shared_ptr<OutboundState> m_state;
        std::string m_poolKey;
        tcp::socket m_socket;
        asio::steady_timer m_timer;
        OutboundRequest m_request;
        OutboundListener* m_listener = nullptr;
        /** Whether the request is one whose answer has no body. */
        bool m_bodiless = false;
        std::optional<AnswerParser> m_parser;
        std::string m_input;
        /** Memory of the fields of the answer's head. */
        std::size_t m_headBytes = 0;
        /** Set while much is kept. */
        std::optional<MemoryHolder> m_memory;
        std::optional<Duration> m_idleTimeout;
        Instant m_idleSince {};
        std::uint64_t m_serial = 0;
        std::size_t m_skippedBytes = 0;
        bool m_connected = false;
        bool m_closed = false;
        bool m_waitingForInput = false;
        bool m_paused = false;
        bool m_idle = false;
        /** Whether the kernel closes the connection when keep-alive probes are not answered. */
        bool m_probesSilence = false;
        bool m_sent = false;
        bool m_writeDone = false;
        /** Whether the connection was lost while the request was written. What was received before is still read. */
        bool m_writeFailed = false;
        /** Whether the whole request is known to be acknowledged; looked at only from time to time. */
        bool m_acknowledged = false;
        bool m_answerDone = false;
        bool m_headSeen = false;
        bool m_answerMatches = true;
        /** Whether an answer on this connection has named its request. */
        bool m_answersAreNamed = false;
        bool m_closesAfterAnswer = false;
        bool m_reusable = false;
    };

} // namespace detail

OutboundExchange::OutboundExchange(std::shared_ptr<detail::OutboundConnection> connection)
    : m_connection(std::move(connection))
    , m_serial(m_connection->serial())
{
}

OutboundExchange::~OutboundExchange()
{
    m_connection->cancel(m_serial);
}

void OutboundExchange::pause()
{
    m_connection->setPaused(m_serial, true);
}

void OutboundExchange::resume()
{
    m_connection->setPaused(m_serial, false);
}

void OutboundExchange::closeAfterAnswer()
{
    m_connection->closeAfterAnswer(m_serial);
}

bool OutboundExchange::sent() const
{
    return m_connection->sent();
}

OutboundPool::OutboundPool(asio::io_context& io, const Clock& clock, MemoryAccount* memory)
    : m_state(std::make_shared<detail::OutboundState>(io, clock, memory))
{
}

OutboundPool::~OutboundPool()
{
    closeAllIdle();
}

std::unique_ptr<OutboundExchange> OutboundPool::start(OutboundRequest request, OutboundListener& listener)
{
    std::shared_ptr<detail::OutboundConnection> connection;
    const auto now = m_state->clock.now();
    if (const auto it = m_state->idle.find(request.poolKey); it != m_state->idle.end()) {
        auto& idleConnections = it->second;
        while (!idleConnections.empty() && !connection) {
            auto candidate = std::move(idleConnections.back());
            idleConnections.pop_back();
            if (candidate->isReusable(now, request.maxIdleAge))
                connection = std::move(candidate);
            else
                candidate->close();
        }
        if (idleConnections.empty())
            m_state->idle.erase(it);
    }
    if (connection) {
        ++m_state->counts.reuses;
        connection->m_idle = false;
    } else {
        connection = std::make_shared<detail::OutboundConnection>(m_state, request.poolKey);
    }
    connection->begin(std::move(request), listener);
    return std::make_unique<OutboundExchange>(std::move(connection));
}

void OutboundPool::closeIdle(const std::string& poolKey)
{
    const auto it = m_state->idle.find(poolKey);
    if (it == m_state->idle.end())
        return;
    for (const auto& connection : it->second)
        connection->close();
    m_state->idle.erase(it);
}

void OutboundPool::closeAllIdle()
{
    for (const auto& [key, idleConnections] : m_state->idle) {
        for (const auto& connection : idleConnections)
            connection->close();
    }
    m_state->idle.clear();
}

OutboundCounts OutboundPool::counts() const
{
    return m_state->counts;
}

} // namespace yuccashift
