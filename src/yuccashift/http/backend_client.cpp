#include "yuccashift/http/backend_client.hpp"

#include "yuccashift/http/detail/acknowledgement.hpp"
#include "yuccashift/http/detail/answer_framing.hpp"
#include "yuccashift/http/detail/answer_status.hpp"
#include "yuccashift/http/detail/reset_on_close.hpp"
#include "yuccashift/kernel/cancellation.hpp"
#include "yuccashift/kernel/detail/await.hpp"
#include "yuccashift/kernel/log.hpp"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <sys/socket.h>

namespace yuccashift {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using detail::awaitTuple;
using tcp = asio::ip::tcp;

namespace {

    constexpr std::size_t chunkBytes = 16 * 1024;
    constexpr std::size_t maxIdlePerEndpoint = 64;
    /** Maximum idle time of a pooled connection, since a NAT or firewall on the path may have dropped its state. */
    constexpr seconds idleLifetime { 4 };
    constexpr seconds connectTimeout { 2 };
    /** Time after which the unacknowledged bytes of a request are looked at; it is reset if the same number still is a short time later. */
    constexpr milliseconds acknowledgementTimeout { 2700 };
    constexpr std::uint32_t headerLimit = 64 * 1024;
    /** Interim answers that are skipped before the final one. */
    constexpr int maxInterimAnswers = 16;

    /** Resets a connection whose request is not acknowledged. The kernel's own timeout would send no reset, and a link that was silent could deliver the request later. */
    class AcknowledgementWatch : public std::enable_shared_from_this<AcknowledgementWatch> {
    public:
        explicit AcknowledgementWatch(beast::tcp_stream& stream)
            : m_stream(stream)
            , m_timer(stream.get_executor())
        {
        }

        void start() { checkAfter(acknowledgementTimeout, 0); }
        void stop() { m_timer.cancel(); }

    private:
        void checkAfter(Duration delay, int unacknowledgedBefore)
        {
            m_timer.expires_after(delay);
            m_timer.async_wait([weak = weak_from_this(), unacknowledgedBefore](const beast::error_code& ec) {
                const auto self = weak.lock();
                if (!ec && self)
                    self->check(unacknowledgedBefore);
            });
        }

        void check(int before)
        {
            const auto unacknowledged = detail::unacknowledgedBytes(m_stream.socket());
            if (!unacknowledged || *unacknowledged == 0)
                return;
            if (*unacknowledged != before)
                return checkAfter(detail::acknowledgementProgressTimeout, *unacknowledged);
            logWarning("resetting a connection whose request is not acknowledged", { { "unacknowledged_bytes", *unacknowledged } });
            m_stream.close();
        }

        beast::tcp_stream& m_stream;
        asio::steady_timer m_timer;
    };

    /** One connection to a backend server. */
    struct Connection {
        explicit Connection(const asio::any_io_executor& executor)
            : stream(executor)
            , watch(std::make_shared<AcknowledgementWatch>(stream))
        {
        }

        beast::tcp_stream stream;
        std::shared_ptr<AcknowledgementWatch> watch;
        /** Limited, since the parser uses up all bytes but those of a head or of the line before a chunk. */
        beast::flat_buffer buffer { 2 * headerLimit };
        Instant idleSince;
        bool reused = false;
    };

    using ConnectionPtr = std::unique_ptr<Connection>;

    /** Idle connections by event loop and endpoint. */
    class Pool {
    public:
        explicit Pool(const Clock& clock)
            : m_clock(clock)
        {
        }

        ConnectionPtr acquire(asio::execution_context& loop, const Endpoint& endpoint)
        {
            const std::lock_guard lock(m_mutex);
            auto& idle = m_idle[{ &loop, toString(endpoint) }];
            const auto oldest = m_clock.now() - idleLifetime;
            while (!idle.empty() && idle.front()->idleSince < oldest)
                idle.pop_front();
            if (idle.empty())
                return nullptr;
            auto connection = std::move(idle.back());
            idle.pop_back();
            return connection;
        }

        void release(asio::execution_context& loop, const Endpoint& endpoint, ConnectionPtr connection)
        {
            connection->idleSince = m_clock.now();
            connection->reused = true;
            const std::lock_guard lock(m_mutex);
            auto& idle = m_idle[{ &loop, toString(endpoint) }];
            if (idle.size() < maxIdlePerEndpoint)
                idle.push_back(std::move(connection));
        }

        void clear()
        {
            const std::lock_guard lock(m_mutex);
            m_idle.clear();
        }

        /** Closes the idle connections of this loop to the endpoint. Called after one failed, since the others may have failed too. */
        void closeEndpoint(asio::execution_context& loop, const Endpoint& endpoint)
        {
            const std::lock_guard lock(m_mutex);
            m_idle.erase({ &loop, toString(endpoint) });
        }

    private:
        const Clock& m_clock;
        std::mutex m_mutex;
        std::map<std::pair<asio::execution_context*, std::string>, std::deque<ConnectionPtr>> m_idle;
    };

    /** Whether the server has closed an idle connection or sent unsolicited bytes on it. */
    bool isStale(Connection& connection)
    {
        char byte = 0;
        const auto n = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void configure(tcp::socket& socket)
    {
        beast::error_code ec;
        socket.set_option(tcp::no_delay(true), ec);
        // A request that is given up must not be delivered any more.
        if (const auto resetError = detail::setResetOnClose(socket))
            logWarning("cannot mark a connection for a reset; a request may be delivered after it was given up", { { "reason", resetError.message() } });
    }

    http::request<http::string_body> toRequest(RequestMessage&& message, const Endpoint& endpoint)
    {
        http::request<http::string_body> request;
        request.version(11);
        request.method_string(message.method);
        request.target(message.target);
        for (auto& field : message.headers) {
            if (!isHopByHop(field.name))
                request.insert(field.name, field.value);
        }
        request.set(http::field::host, toString(endpoint));
        request.body() = std::move(message.body);
        request.prepare_payload();
        return request;
    }

    /** One exchange over HTTP. Returns its connection to the pool only after a complete answer. */
    class HttpAnswer final : public IncomingAnswer {
    public:
        HttpAnswer(Pool& pool, const Clock& clock, ConnectionPtr connection, const BackendCall& call)
            : m_pool(pool)
            , m_clock(clock)
            , m_connection(std::move(connection))
            , m_endpoint(call.endpoint)
            , m_deadline(call.deadline)
            , m_progressTimeout(call.progressTimeout)
            , m_headTimeout(call.headTimeout)
            , m_bodiless(call.request.method == "HEAD")
        {
            restartParser();
        }

        const AnswerHead& head() const override { return m_head; }

        asio::awaitable<Result<void>> readHead()
        {
            const auto until = m_clock.now() + m_headTimeout;
            for (int interim = 0; interim <= maxInterimAnswers; ++interim) {
                expireAfter(until - m_clock.now());
                const auto [ec, n] = co_await http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, awaitTuple);
                if (ec)
                    co_return tl::unexpected(connectionError(ec, ErrorKind::BackendLost));
                m_head.status = static_cast<int>(m_parser->get().result_int());
                if (!detail::isInterim(m_head.status))
                    break;
                restartParser();
            }
            if (!detail::isAnswerStatus(m_head.status) || detail::isInterim(m_head.status))
                co_return fail(ErrorKind::BackendLost, "backend server " + toString(m_endpoint) + ": status " + std::to_string(m_head.status) + " is not one of a final answer");
            const auto& response = m_parser->get();
            for (const auto& field : response) {
                if (!isHopByHop(field.name_string()))
                    m_head.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
            }
            if (const auto length = m_parser->content_length())
                m_head.length = *length;
            m_head.framing = detail::framingOf(*m_parser);
            // Without a length or chunks, a lost connection cannot be told from the end of the body.
            m_hasEndMark = m_bodiless || m_parser->chunked() || m_parser->content_length().has_value();
            co_return Result<void> {};
        }

        asio::awaitable<Result<std::string_view>> next() override
        {
            while (!m_parser->is_done()) {
                // The time limit of a read ends no answer whose bytes are always there already.
                if (m_clock.now() >= m_deadline)
                    co_return fail(ErrorKind::DeadlineExceeded, "backend server " + toString(m_endpoint) + ": its answer has no end");
                auto& body = m_parser->get().body();
                body.data = m_chunk.data();
                body.size = m_chunk.size();
                // A server may send the head at once while the request is still queued there.
                expireAfter(m_bodyStarted ? m_progressTimeout : std::max(m_headTimeout, m_progressTimeout));
                auto [ec, n] = co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, awaitTuple);
                if (ec == http::error::need_buffer)
                    ec = {};
                if (ec)
                    co_return tl::unexpected(connectionError(ec, ErrorKind::AnswerIncomplete));
                const auto size = m_chunk.size() - body.size;
                m_bodyStarted = m_bodyStarted || size > 0;
                if (size > 0)
                    co_return std::string_view(m_chunk.data(), size);
            }
            if (!m_hasEndMark)
                co_return fail(ErrorKind::AnswerIncomplete, "the backend server's answer has no end mark");
            returnConnection();
            co_return std::string_view {};
        }

    private:
        void restartParser()
        {
            m_parser.emplace();
            m_parser->header_limit(headerLimit);
            m_parser->body_limit(boost::none);
            m_parser->skip(m_bodiless);
        }

        void expireAfter(Duration longest)
        {
            const auto untilDeadline = m_deadline - m_clock.now();
            m_connection->stream.expires_after(std::max<Duration>(std::min<Duration>(longest, untilDeadline), milliseconds(1)));
        }

        Error connectionError(const beast::error_code& ec, ErrorKind kind)
        {
            m_pool.closeEndpoint(loop(), m_endpoint);
            if (ec == beast::error::timeout && m_clock.now() >= m_deadline)
                kind = ErrorKind::DeadlineExceeded;
            return { kind, "backend server " + toString(m_endpoint) + ": " + ec.message(), {}, {} };
        }

        void returnConnection()
        {
            if (!m_connection || !m_parser->get().keep_alive() || m_connection->buffer.size() > 0)
                return;
            m_connection->stream.expires_never();
            m_connection->watch->stop();
            // Evaluated first: the evaluation order of arguments is unspecified, and one of them moves the connection.
            auto& owner = loop();
            m_pool.release(owner, m_endpoint, std::move(m_connection));
        }

        asio::execution_context& loop()
        {
            return asio::query(m_connection->stream.get_executor(), asio::execution::context);
        }

        Pool& m_pool;
        const Clock& m_clock;
        ConnectionPtr m_connection;
        Endpoint m_endpoint;
        Instant m_deadline;
        Duration m_progressTimeout;
        Duration m_headTimeout;
        /** Whether the request is one whose answer has no body. */
        bool m_bodiless;
        std::optional<http::response_parser<http::buffer_body>> m_parser;
        AnswerHead m_head;
        bool m_hasEndMark = false;
        bool m_bodyStarted = false;
        std::array<char, chunkBytes> m_chunk {};
    };

    class HttpBackendClient final : public BackendClient {
    public:
        explicit HttpBackendClient(const Clock& clock)
            : m_clock(clock)
            , m_pool(clock)
        {
        }

        asio::awaitable<Result<std::unique_ptr<IncomingAnswer>>> send(BackendCall call) override
        {
            const auto executor = co_await asio::this_coro::executor;
            auto connection = takeIdle(asio::query(executor, asio::execution::context), call);
            if (!connection) {
                auto connected = co_await connect(executor, call);
                if (!connected)
                    co_return tl::unexpected(std::move(connected.error()));
                connection = std::move(*connected);
            }
            const bool cancelled = co_await isCancelled();
            if (cancelled)
                co_return fail(ErrorKind::Cancelled);
            co_return co_await exchange(std::move(connection), std::move(call));
        }

        void closeIdle() override { m_pool.clear(); }

    private:
        ConnectionPtr takeIdle(asio::execution_context& loop, const BackendCall& call)
        {
            if (call.freshConnection)
                return nullptr;
            while (auto connection = m_pool.acquire(loop, call.endpoint)) {
                if (!isStale(*connection))
                    return connection;
            }
            return nullptr;
        }

        asio::awaitable<Result<ConnectionPtr>> connect(asio::any_io_executor executor, const BackendCall& call)
        {
            beast::error_code ec;
            const auto address = asio::ip::make_address(call.endpoint.host, ec);
            if (ec)
                co_return fail(ErrorKind::BackendRefused, "not an address: " + call.endpoint.host);
            auto connection = std::make_unique<Connection>(executor);
            const auto untilDeadline = call.deadline - m_clock.now();
            connection->stream.expires_after(std::clamp<Duration>(untilDeadline, milliseconds(1), connectTimeout));
            const tcp::endpoint remote(address, call.endpoint.port);
            const auto [connectEc] = co_await connection->stream.async_connect(remote, awaitTuple);
            if (connectEc)
                co_return fail(ErrorKind::BackendRefused, "backend server " + toString(call.endpoint) + ": " + connectEc.message());
            configure(connection->stream.socket());
            co_return connection;
        }

        asio::awaitable<Result<std::unique_ptr<IncomingAnswer>>> exchange(ConnectionPtr connection, BackendCall call)
        {
            auto& stream = connection->stream;
            auto& loop = asio::query(stream.get_executor(), asio::execution::context);
            const auto request = toRequest(std::move(call.request), call.endpoint);
            stream.expires_after(std::max<Duration>(std::min<Duration>(call.progressTimeout, call.deadline - m_clock.now()), milliseconds(1)));
            connection->watch->start();
            const auto [ec, n] = co_await http::async_write(stream, request, awaitTuple);
            if (ec) {
                m_pool.closeEndpoint(loop, call.endpoint);
                const auto kind = n == 0 ? ErrorKind::BackendRefused : ErrorKind::BackendLost;
                co_return fail(kind, "backend server " + toString(call.endpoint) + ": " + ec.message());
            }
            auto answer = std::make_unique<HttpAnswer>(m_pool, m_clock, std::move(connection), call);
            const auto head = co_await answer->readHead();
            if (!head)
                co_return tl::unexpected(head.error());
            co_return answer;
        }

        const Clock& m_clock;
        Pool m_pool;
    };

} // namespace

IncomingAnswer::~IncomingAnswer() = default;

BackendClient::~BackendClient() = default;

std::unique_ptr<BackendClient> makeHttpBackendClient(const Clock& clock)
{
    return std::make_unique<HttpBackendClient>(clock);
}

asio::awaitable<Result<CompleteAnswer>> sendAndCollect(BackendClient& client, BackendCall call, std::size_t maxBytes)
{
    auto answer = co_await client.send(std::move(call));
    if (!answer)
        co_return tl::unexpected(std::move(answer.error()));
    CompleteAnswer whole { (*answer)->head(), {} };
    for (;;) {
        const auto part = co_await (*answer)->next();
        if (!part)
            co_return tl::unexpected(part.error());
        if (part->empty())
            co_return whole;
        if (whole.body.size() + part->size() > maxBytes)
            co_return fail(ErrorKind::AnswerIncomplete, "an answer over its bound");
        whole.body += *part;
    }
}

} // namespace yuccashift
