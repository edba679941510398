#include "benchmarks/speed/load_driver.hpp"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace yuccashift::speed {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

    constexpr auto awaitable = asio::use_awaitable;

    double microsecondsSince(Clock::time_point start)
    {
        return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
    }

    std::size_t countEvents(std::string_view text, std::string_view mark)
    {
        std::size_t count = 0;
        for (auto at = text.find(mark); at != std::string_view::npos; at = text.find(mark, at + mark.size()))
            ++count;
        return count;
    }

    /** Sends requests over one connection, one at a time. */
    class Caller {
    public:
        Caller(const LoadSpec& spec, LoadResult& result, Clock::time_point end, tcp::socket socket)
            : m_spec(spec)
            , m_result(result)
            , m_end(end)
            , m_stream(std::move(socket))
        {
        }

        asio::awaitable<void> run()
        {
            m_stream.socket().set_option(tcp::no_delay(true));
            while (Clock::now() < m_end) {
                try {
                    co_await exchange();
                } catch (const boost::system::system_error& error) {
                    m_result.lastFailure = error.what();
                    ++m_result.failures;
                    co_return;
                }
            }
        }

    private:
        http::request<http::string_body> makeRequest() const
        {
            http::request<http::string_body> request(http::string_to_verb(m_spec.method), m_spec.path, 11);
            request.set(http::field::host, "localhost");
            for (const auto& [name, value] : m_spec.headers)
                request.set(name, value);
            request.body() = m_spec.body;
            request.prepare_payload();
            return request;
        }

        asio::awaitable<void> exchange()
        {
            const auto start = Clock::now();
            const auto request = makeRequest();
            co_await http::async_write(m_stream, request, awaitable);
            http::response_parser<http::string_body> parser;
            co_await http::async_read_header(m_stream, m_buffer, parser, awaitable);
            std::size_t seen = 0;
            while (!parser.is_done()) {
                co_await http::async_read_some(m_stream, m_buffer, parser, awaitable);
                if (seen == 0 && !parser.get().body().empty()) {
                    m_result.firstTokens.push_back(microsecondsSince(start));
                    seen = 1;
                }
            }
            m_result.latencies.push_back(microsecondsSince(start));
            m_result.tokens += countEvents(parser.get().body(), m_spec.eventMark);
            ++m_result.requests;
            if (parser.get().result() == http::status::ok)
                co_return;
            m_result.lastFailure = parser.get().body();
            ++m_result.failures;
        }

        const LoadSpec& m_spec;
        LoadResult& m_result;
        Clock::time_point m_end;
        beast::tcp_stream m_stream;
        beast::flat_buffer m_buffer;
    };

} // namespace

LoadResult runLoad(const LoadSpec& spec)
{
    asio::io_context context(1);
    LoadResult result;
    const auto start = Clock::now();
    std::vector<std::unique_ptr<Caller>> callers;
    for (std::size_t n = 0; n < spec.connections; ++n) {
        tcp::socket socket(context);
        socket.connect({ asio::ip::make_address(spec.target.host), spec.target.port });
        callers.push_back(std::make_unique<Caller>(spec, result, start + spec.duration, std::move(socket)));
        asio::co_spawn(context, callers.back()->run(), asio::detached);
    }
    context.run();
    result.seconds = std::chrono::duration<double>(Clock::now() - start).count();
    return result;
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, at);
    return *at;
}

} // namespace yuccashift::speed
