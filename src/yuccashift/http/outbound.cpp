#include "yuccashift/http/outbound.hpp"

#include "yuccashift/http/detail/scratch.hpp"
#include "yuccashift/kernel/log.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <optional>
#include <unordered_map>
#include <vector>

namespace yuccashift {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

    /** A peer without power answers nothing: bytes that are not acknowledged for so long end the connection. */
    constexpr int userTimeoutMs = 2500;
    /** Probes on silent connections, in seconds, and how many may stay unanswered. */
    constexpr int keepAliveIdleS = 1;
    constexpr int keepAliveIntervalS = 1;
    constexpr int keepAliveProbes = 2;
    /** Share of a peer's announced idle limit after which a connection is not used again. */
    constexpr double usableShareOfIdleLimit = 0.6;
    /** Header of an answer, in bytes. */
    constexpr std::uint32_t mostAnswerHeaderBytes = 64 * 1024;
    constexpr int firstFinalStatus = 200;

    using AnswerParser = http::response_parser<http::string_body>;

    void setOptions(tcp::socket& socket)
    {
        error_code ec;
        const int fd = socket.native_handle();
        socket.set_option(tcp::no_delay(true), ec);
        socket.set_option(asio::socket_base::keep_alive(true), ec);
        // Best effort: without these options a silent peer is noticed by the request's own time limit.
        (void)::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleS, sizeof keepAliveIdleS);
        (void)::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalS, sizeof keepAliveIntervalS);
        (void)::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof keepAliveProbes);
        (void)::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof userTimeoutMs);
        socket.non_blocking(true, ec);
    }

    /** The time-out of a `Keep-Alive: timeout=N` header. */
    std::optional<Duration> announcedIdleLimit(const HeaderFields& headers)
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
    case OutboundFailure::Truncated:
        break;
    }
    return "truncated";
}

OutboundListener::~OutboundListener() = default;

namespace detail {

    using ConnectionList = std::vector<std::shared_ptr<OutboundConnection>>;

    struct OutboundState {
        OutboundState(asio::io_context& ioContext, const Clock& poolClock)
            : io(ioContext)
            , clock(poolClock)
        {
        }

        asio::io_context& io;
        const Clock& clock;
        std::unordered_map<std::string, ConnectionList> idle;
        OutboundCounts counts;
    };

    /** One connection with at most one request at a time. */
    class OutboundConnection : public std::enable_shared_from_this<OutboundConnection> {
    public:
        OutboundConnection(std::shared_ptr<OutboundState> state, std::string poolKey)
            : m_state(std::move(state))
            , m_poolKey(std::move(poolKey))
            , m_socket(m_state->io)
            , m_timer(m_state->io)
        {
        }

        ~OutboundConnection() = default;
        OutboundConnection(const OutboundConnection&) = delete;
        OutboundConnection& operator=(const OutboundConnection&) = delete;

        void begin(OutboundRequest request, OutboundListener& listener)
        {
            ++m_serial;
            m_listener = &listener;
            m_request = std::move(request);
            m_sent = false;
            m_writeDone = false;
            m_answerDone = false;
            m_headSeen = false;
            m_paused = false;
            m_parser.reset();
            if (m_connected)
                write();
            else
                connect();
        }

        std::uint64_t serial() const { return m_serial; }

        /** Ends the exchange without telling the listener; a later exchange on this connection goes on. */
        void cancel(std::uint64_t serial)
        {
            if (serial != m_serial || m_answerDone)
                return;
            m_listener = nullptr;
            close();
        }

        bool usable(Instant now, Duration mostIdle) const
        {
            const auto limit = m_idleLimit ? std::min(mostIdle, std::chrono::duration_cast<Duration>(*m_idleLimit * usableShareOfIdleLimit)) : mostIdle;
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
            if (!paused)
                waitForInput();
        }

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
            asio::async_write(m_socket, asio::buffer(m_request.bytes), [self = shared_from_this()](const error_code& ec, std::size_t) {
                if (self->m_closed)
                    return;
                if (ec)
                    return self->fail(OutboundFailure::Lost, ec.message());
                self->m_writeDone = true;
                self->m_request.bytes.clear();
                if (self->m_answerDone)
                    self->settle();
            });
        }

        void waitForInput()
        {
            if (m_waiting || m_closed || m_paused)
                return;
            m_waiting = true;
            m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& ec) {
                self->m_waiting = false;
                if (!ec && !self->m_closed)
                    self->readInput();
            });
        }

        void readInput()
        {
            auto& buf = scratch();
            error_code ec;
            const auto n = m_socket.read_some(asio::buffer(buf), ec);
            if (ec == asio::error::would_block || ec == asio::error::try_again)
                return waitForInput();
            if (m_idle || m_answerDone)
                return dropIdle();
            if (ec)
                return onEnd(ec);
            m_in.append(buf.data(), n);
            parse();
            if (!m_closed && !m_answerDone)
                waitForInput();
        }

        /** The peer closed a kept connection, or sent bytes that belong to no request. */
        void dropIdle()
        {
            close();
            const auto it = m_state->idle.find(m_poolKey);
            if (it != m_state->idle.end())
                std::erase_if(it->second, [this](const auto& held) { return held.get() == this; });
        }

        void onEnd(const error_code& ec)
        {
            if (ec == asio::error::eof && m_parser && m_headSeen && m_parser->need_eof() && !m_parser->is_done()) {
                error_code parseError;
                m_parser->put_eof(parseError);
                if (!parseError)
                    return answerEnded(false);
            }
            fail(m_headSeen ? OutboundFailure::Truncated : OutboundFailure::Lost, ec.message());
        }

        void parse()
        {
            while (!m_closed && m_listener && !m_answerDone) {
                if (!m_parser) {
                    m_parser.emplace();
                    m_parser->eager(true);
                    m_parser->header_limit(mostAnswerHeaderBytes);
                    m_parser->body_limit(boost::none);
                    m_headSeen = false;
                }
                error_code ec;
                std::size_t n = 0;
                if (!m_in.empty() && !m_parser->is_done()) {
                    n = m_parser->put(asio::const_buffer(m_in.data(), m_in.size()), ec);
                    m_in.erase(0, n);
                }
                if (ec && ec != http::error::need_more)
                    return fail(m_headSeen ? OutboundFailure::Truncated : OutboundFailure::Lost, ec.message());
                const auto self = shared_from_this();
                if (m_parser->is_header_done() && !m_headSeen)
                    onHeader();
                passBody();
                if (m_closed || !m_listener)
                    return;
                if (m_parser->is_done()) {
                    if (!m_ours) {
                        m_parser.reset();
                        continue;
                    }
                    return answerEnded(m_parser->keep_alive());
                }
                if (ec == http::error::need_more || n == 0)
                    return;
            }
        }

        void onHeader()
        {
            m_headSeen = true;
            const auto& message = m_parser->get();
            AnswerHead head;
            head.status = static_cast<int>(message.result_int());
            if (const auto length = m_parser->content_length())
                head.length = static_cast<std::size_t>(*length);
            head.headers.reserve(8);
            for (const auto& field : message)
                head.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
            if (const auto limit = announcedIdleLimit(head.headers))
                m_idleLimit = limit;
            m_ours = head.status >= firstFinalStatus && (!m_request.matchesRequest || m_request.matchesRequest(head));
            if (m_ours)
                m_listener->onAnswerHead(head);
            else if (head.status >= firstFinalStatus)
                ++m_state->counts.strayAnswers;
        }

        void passBody()
        {
            if (!m_headSeen || m_closed)
                return;
            auto& body = m_parser->get().body();
            if (body.empty())
                return;
            if (m_ours && m_listener)
                m_listener->onAnswerBody(body);
            body.clear();
        }

        void answerEnded(bool keepAlive)
        {
            m_answerDone = true;
            // Whatever follows a complete answer belongs to no request.
            m_keep = keepAlive && m_in.empty();
            m_in.clear();
            auto* listener = std::exchange(m_listener, nullptr);
            // An answer that came before its request was written out leaves the rest of the body due on this connection.
            if (m_writeDone)
                settle();
            if (!m_writeDone)
                close();
            if (listener)
                listener->onAnswerEnd();
        }

        void settle()
        {
            m_parser.reset();
            m_request.matchesRequest = nullptr;
            if (!m_keep)
                return close();
            m_idle = true;
            m_idleSince = m_state->clock.now();
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
        std::optional<AnswerParser> m_parser;
        std::string m_in;
        std::optional<Duration> m_idleLimit;
        Instant m_idleSince {};
        std::uint64_t m_serial = 0;
        bool m_connected = false;
        bool m_closed = false;
        bool m_waiting = false;
        bool m_paused = false;
        bool m_idle = false;
        bool m_sent = false;
        bool m_writeDone = false;
        bool m_answerDone = false;
        bool m_headSeen = false;
        bool m_ours = true;
        bool m_keep = false;
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

bool OutboundExchange::sent() const
{
    return m_connection->sent();
}

OutboundPool::OutboundPool(asio::io_context& io, const Clock& clock)
    : m_state(std::make_shared<detail::OutboundState>(io, clock))
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
        auto& held = it->second;
        while (!held.empty() && !connection) {
            auto candidate = std::move(held.back());
            held.pop_back();
            if (candidate->usable(now, request.maxIdleAge))
                connection = std::move(candidate);
            else
                candidate->close();
        }
        if (held.empty())
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
    for (const auto& [key, held] : m_state->idle) {
        for (const auto& connection : held)
            connection->close();
    }
    m_state->idle.clear();
}

OutboundCounts OutboundPool::counts() const
{
    return m_state->counts;
}

} // namespace yuccashift
