#include "cli/operator_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <chrono>

namespace yuccashift::cli {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    using Response = http::response<http::string_body>;

    constexpr std::chrono::seconds callTimeout { 10 };
    constexpr unsigned httpVersion11 = 11;

    http::request<http::string_body> makeRequest(const OperatorCall& call)
    {
        http::request<http::string_body> request(http::string_to_verb(call.method), call.target, httpVersion11);
        request.set(http::field::host, toString(call.instance));
        request.set(http::field::authorization, "Bearer " + call.token);
        request.keep_alive(false);
        if (!call.body.empty())
            request.set(http::field::content_type, "application/json");
        request.body() = call.body;
        request.prepare_payload();
        return request;
    }

    net::awaitable<Response> exchange(beast::tcp_stream& stream, const OperatorCall& call)
    {
        stream.expires_after(callTimeout);
        const net::ip::tcp::endpoint endpoint(net::ip::make_address(call.instance.host), call.instance.port);
        co_await stream.async_connect(endpoint, net::use_awaitable);
        const auto request = makeRequest(call);
        co_await http::async_write(stream, request, net::use_awaitable);
        beast::flat_buffer buffer;
        Response response;
        co_await http::async_read(stream, buffer, response, net::use_awaitable);
        co_return response;
    }

    Response exchangeBlocking(const OperatorCall& call)
    {
        net::io_context context(1);
        beast::tcp_stream stream(context);
        auto responseFuture = net::co_spawn(context, exchange(stream, call), net::use_future);
        context.run();
        return responseFuture.get();
    }

    tl::expected<boost::json::object, CallFailure> parseResponse(const Response& response)
    {
        if (response.result() == http::status::unauthorized)
            return tl::unexpected(CallFailure { CallFailureReason::Unauthenticated, "the credential was refused" });
        boost::system::error_code ec;
        const auto value = boost::json::parse(response.body(), ec);
        if (ec || !value.is_object())
            return tl::unexpected(CallFailure { CallFailureReason::Unreachable, "answered status " + std::to_string(response.result_int()) + " without JSON" });
        if (response.result() != http::status::ok)
            return tl::unexpected(CallFailure { CallFailureReason::ErrorStatus, response.body() });
        return value.as_object();
    }

} // namespace

tl::expected<boost::json::object, CallFailure> callOperatorApi(const OperatorCall& call)
{
    try {
        return parseResponse(exchangeBlocking(call));
    } catch (const boost::system::system_error& error) {
        return tl::unexpected(CallFailure { CallFailureReason::Unreachable, error.code().message() });
    } catch (const std::exception& error) {
        return tl::unexpected(CallFailure { CallFailureReason::Unreachable, error.what() });
    }
}

} // namespace yuccashift::cli
