#include "tests/support/http_call.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <cctype>
#include <optional>
#include <utility>

namespace yuccashift::test {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr unsigned httpVersion11 = 11;

    http::request<http::string_body> makeRequest(const HttpCall& call, bool keepAlive)
    {
        http::request<http::string_body> request(http::string_to_verb(call.method), call.target, httpVersion11);
        request.set(http::field::host, toString(call.to));
        request.keep_alive(keepAlive);
        for (const auto& [name, value] : call.headers)
            request.set(name, value);
        request.body() = call.body;
        request.prepare_payload();
        return request;
    }

    void takeHead(const http::response<http::string_body>& response, HttpReply& reply)
    {
        reply.status = static_cast<int>(response.result_int());
        for (const auto& field : response) {
            std::string name = field.name_string();
            std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
            reply.headers[name] = field.value();
        }
    }

    /** Sends the request on an open stream. Returns whether the stream can be used for another one. */
    net::awaitable<bool> exchange(beast::tcp_stream& stream, const HttpCall& call, bool keepAlive, const OnProgress& onProgress, HttpReply& reply)
    {
        stream.expires_after(call.timeout);
        const auto request = makeRequest(call, keepAlive);
        co_await http::async_write(stream, request, net::use_awaitable);
        beast::flat_buffer buf;
        http::response_parser<http::string_body> parser;
        co_await http::async_read_header(stream, buf, parser, net::use_awaitable);
        takeHead(parser.get(), reply);
        while (!parser.is_done()) {
            co_await http::async_read_some(stream, buf, parser, net::use_awaitable);
            reply.body = parser.get().body();
            if (onProgress && !onProgress(reply.body))
                co_return false;
        }
        reply.body = parser.get().body();
        reply.complete = true;
        co_return parser.keep_alive();
    }

    net::awaitable<void> connect(beast::tcp_stream& stream, const HttpCall& call)
    {
        stream.expires_after(call.timeout);
        const net::ip::tcp::endpoint endpoint(net::ip::make_address(call.to.host), call.to.port);
        co_await stream.async_connect(endpoint, net::use_awaitable);
    }

    net::awaitable<void> exchangeOnce(const HttpCall& call, const OnProgress& onProgress, HttpReply& reply)
    {
        beast::tcp_stream stream(co_await net::this_coro::executor);
        co_await connect(stream, call);
        co_await exchange(stream, call, false, onProgress, reply);
    }

} // namespace

std::string HttpReply::header(const std::string& lowerCaseName) const
{
    const auto it = headers.find(lowerCaseName);
    return it == headers.end() ? std::string() : it->second;
}

HttpReply send(const HttpCall& call, const OnProgress& onProgress)
{
    HttpReply reply;
    net::io_context context(1);
    // An exception means a lost connection; the part received so far stays in the reply.
    net::co_spawn(context, exchangeOnce(call, onProgress, reply), net::detached);
    context.run();
    return reply;
}

struct HttpConnection::State {
    net::awaitable<void> run(const HttpCall& call, HttpReply& reply)
    {
        const bool open = std::exchange(reusable, false) && to == call.to;
        if (!open) {
            stream.emplace(context);
            to = call.to;
            co_await connect(*stream, call);
        }
        reusable = co_await exchange(*stream, call, true, {}, reply);
    }

    net::io_context context { 1 };
    std::optional<beast::tcp_stream> stream;
    Endpoint to;
    bool reusable = false;
};

HttpConnection::HttpConnection()
    : m_state(std::make_unique<State>())
{
}

HttpConnection::~HttpConnection() = default;

HttpReply HttpConnection::send(const HttpCall& call)
{
    HttpReply reply;
    m_state->context.restart();
    net::co_spawn(m_state->context, m_state->run(call, reply), net::detached);
    m_state->context.run();
    return reply;
}

boost::json::object objectOf(const HttpReply& reply)
{
    boost::system::error_code ec;
    const auto value = boost::json::parse(reply.body, ec);
    return reply.ok() && !ec && value.is_object() ? value.as_object() : boost::json::object();
}

} // namespace yuccashift::test
