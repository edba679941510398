#include "standins/common/http_server.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <iostream>

namespace standins {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using net::ip::tcp;

namespace {

    constexpr std::size_t maxBodyBytes = 64UL << 20;
    /** A larger body counts as an upload; it does not fit into the buffers of a connection. */
    constexpr std::size_t minUploadBytes = 1UL << 20;
    constexpr unsigned httpVersion11 = 11;

    std::size_t announcedLength(const http::request<http::string_body>& request)
    {
        const auto text = request[http::field::content_length];
        std::size_t length = 0;
        std::from_chars(text.data(), text.data() + text.size(), length);
        return length;
    }

    http::response<http::string_body> toResponse(Answer answer, bool keepAlive)
    {
        http::response<http::string_body> response(http::int_to_status(answer.status), httpVersion11);
        response.set(http::field::content_type, answer.contentType);
        for (const auto& [name, value] : answer.headers)
            response.set(name, value);
        response.keep_alive(keepAlive);
        response.body() = std::move(answer.body);
        response.prepare_payload();
        return response;
    }

} // namespace

Answer json(const boost::json::value& value, unsigned status)
{
    Answer answer;
    answer.status = status;
    answer.body = boost::json::serialize(value);
    return answer;
}

Answer failure(unsigned status, std::string_view message)
{
    return json({ { "error", message } }, status);
}

Answer notRun(std::string_view message)
{
    constexpr unsigned serviceUnavailable = 503;
    Answer answer = failure(serviceUnavailable, message);
    answer.headers.emplace_back("X-Not-Run", "1");
    return answer;
}

Exchange::Exchange(beast::tcp_stream& stream, Request request, detail::ServerState& state, std::uint64_t connection)
    : m_stream(stream)
    , m_request(std::move(request))
    , m_state(state)
    , m_connection(connection)
{
}

std::string Exchange::method() const
{
    return m_request.method_string();
}

std::string Exchange::path() const
{
    const std::string target = m_request.target();
    return target.substr(0, target.find('?'));
}

std::string Exchange::lastSegment() const
{
    const auto whole = path();
    return whole.substr(whole.rfind('/') + 1);
}

std::string Exchange::query(std::string_view name, std::string_view fallback) const
{
    const std::string target = m_request.target();
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return std::string(fallback);
    const std::string text = "&" + target.substr(mark + 1);
    const std::string wanted = "&" + std::string(name) + "=";
    const auto begin = text.find(wanted);
    if (begin == std::string::npos)
        return std::string(fallback);
    const auto value = text.substr(begin + wanted.size());
    return value.substr(0, value.find('&'));
}

std::string Exchange::header(std::string_view name) const
{
    return m_request[name];
}

const std::string& Exchange::body() const
{
    return m_request.body();
}

boost::json::value Exchange::jsonBody() const
{
    if (m_request.body().empty())
        return boost::json::object();
    return boost::json::parse(m_request.body());
}

bool Exchange::isControl() const
{
    return m_request.target().starts_with("/control/");
}

bool Exchange::isSilent() const
{
    // Control requests are always answered; otherwise a test could not end the silence.
    if (isControl())
        return false;
    return m_state.silence == Silence::All || m_connection <= m_state.silentUpTo;
}

awaitable<void> Exchange::hangIfSilent()
{
    if (isSilent())
        co_await hang();
}

awaitable<void> Exchange::hang()
{
    m_dropped = true;
    std::array<char, 4096> buf {};
    // The read throws when the client closes the connection, which ends the loop and the exchange.
    while (true)
        co_await m_stream.async_read_some(net::buffer(buf), net::use_awaitable);
}

awaitable<void> Exchange::answer(Answer answer)
{
    co_await hangIfSilent();
    const auto response = toResponse(std::move(answer), m_request.keep_alive());
    co_await http::async_write(m_stream, response, net::use_awaitable);
}

awaitable<void> Exchange::beginStream(std::string_view contentType)
{
    co_await hangIfSilent();
    http::response<http::empty_body> head(http::status::ok, httpVersion11);
    head.set(http::field::content_type, contentType);
    head.keep_alive(m_request.keep_alive());
    if (m_unframed)
        head.keep_alive(false);
    else
        head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    co_await http::async_write_header(m_stream, serializer, net::use_awaitable);
}

awaitable<void> Exchange::writeChunk(std::string_view data)
{
    co_await hangIfSilent();
    if (m_unframed)
        co_await net::async_write(m_stream, net::buffer(data), net::use_awaitable);
    else
        co_await net::async_write(m_stream, http::make_chunk(net::buffer(data)), net::use_awaitable);
}

awaitable<void> Exchange::endStream()
{
    co_await hangIfSilent();
    if (m_unframed)
        drop();
    else
        co_await net::async_write(m_stream, http::make_chunk_last(), net::use_awaitable);
}

awaitable<void> Exchange::sendRaw(std::string_view bytes)
{
    co_await hangIfSilent();
    co_await net::async_write(m_stream, net::buffer(bytes), net::use_awaitable);
    drop();
}

awaitable<void> Exchange::truncate(Answer answer)
{
    const auto half = answer.body.size() / 2;
    auto response = toResponse(std::move(answer), false);
    http::response_serializer<http::string_body> serializer(response);
    co_await http::async_write_header(m_stream, serializer, net::use_awaitable);
    co_await net::async_write(m_stream, net::buffer(response.body().data(), half), net::use_awaitable);
    drop();
}

void Exchange::drop()
{
    m_dropped = true;
    boost::system::error_code ec;
    m_stream.socket().close(ec);
}

HttpServer::HttpServer(std::string address, std::uint16_t port)
    : m_address(std::move(address))
    , m_port(port)
{
}

HttpServer::~HttpServer() = default;

void HttpServer::addTask(std::function<awaitable<void>()> task)
{
    m_tasks.push_back(std::move(task));
}

void HttpServer::setSilence(Silence silence)
{
    m_state.silence = silence;
    if (silence == Silence::None)
        m_state.silentUpTo = 0;
    else
        m_state.silentUpTo = m_state.accepted;
}

int HttpServer::run(Handler handler)
{
    m_handler = std::move(handler);
    net::io_context context(1);
    const tcp::endpoint endpoint(net::ip::make_address(m_address), m_port);
    tcp::acceptor acceptor(context, endpoint);
    std::cout << "listening " << m_address << ":" << acceptor.local_endpoint().port() << std::endl;
    net::co_spawn(context, acceptAll(acceptor), net::detached);
    for (auto& task : m_tasks)
        net::co_spawn(context, task(), net::detached);
    context.run();
    return 0;
}

awaitable<void> HttpServer::acceptAll(tcp::acceptor& acceptor)
{
    while (true) {
        tcp::socket socket = co_await acceptor.async_accept(net::use_awaitable);
        socket.set_option(tcp::no_delay(true));
        const auto number = ++m_state.accepted;
        net::co_spawn(acceptor.get_executor(), serveConnection(std::move(socket), number), net::detached);
    }
}

awaitable<void> HttpServer::serveConnection(tcp::socket socket, std::uint64_t number)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buf;
    try {
        while (true) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(maxBodyBytes);
            co_await http::async_read_header(stream, buf, parser, net::use_awaitable);
            if (m_state.uploadsToReset > 0 && announcedLength(parser.get()) > minUploadBytes) {
                --m_state.uploadsToReset;
                co_return co_await answerEarlyAndReset(stream);
            }
            co_await http::async_read(stream, buf, parser, net::use_awaitable);
            const bool keepAlive = parser.get().keep_alive();
            Exchange exchange(stream, parser.release(), m_state, number);
            bool malformed = false;
            try {
                co_await m_handler(exchange);
            } catch (const boost::system::system_error& error) {
                malformed = error.code().category() == boost::json::make_error_code(boost::json::error::syntax).category();
                if (!malformed)
                    throw;
            }
            if (malformed)
                co_await exchange.answer(failure(400, "the body isn't the JSON that was expected"));
            if (exchange.dropped() || !keepAlive)
                break;
        }
    } catch (const std::exception&) {
        // The client disconnected or violated the protocol: close only this connection.
    }
}

awaitable<void> HttpServer::answerEarlyAndReset(beast::tcp_stream& stream)
{
    const std::string answer = "HTTP/1.1 200 OK\r\n\r\nhalf of an answer";
    co_await net::async_write(stream, net::buffer(answer), net::use_awaitable);
    stream.socket().set_option(net::socket_base::linger(true, 0));
    stream.socket().close();
}

void applyHang(HttpServer& server, const Exchange& exchange)
{
    const auto body = exchange.jsonBody();
    const auto* mode = body.as_object().if_contains("mode");
    const std::string_view word = mode == nullptr ? "all" : std::string_view(mode->as_string());
    if (word == "off")
        server.setSilence(Silence::None);
    else
        server.setSilence(word == "open" ? Silence::Open : Silence::All);
}

awaitable<std::pair<unsigned, std::string>> httpGet(std::string endpoint, std::string target)
{
    const auto colon = endpoint.rfind(':');
    const auto port = static_cast<std::uint16_t>(std::stoul(endpoint.substr(colon + 1)));
    beast::tcp_stream stream(co_await net::this_coro::executor);
    co_await stream.async_connect(tcp::endpoint(net::ip::make_address(endpoint.substr(0, colon)), port), net::use_awaitable);
    http::request<http::empty_body> request(http::verb::get, target, httpVersion11);
    request.set(http::field::host, endpoint);
    request.keep_alive(false);
    co_await http::async_write(stream, request, net::use_awaitable);
    beast::flat_buffer buf;
    http::response<http::string_body> response;
    co_await http::async_read(stream, buf, response, net::use_awaitable);
    co_return std::pair(response.result_int(), std::move(response.body()));
}

} // namespace standins
