#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace standins {

using boost::asio::awaitable;
using Headers = std::vector<std::pair<std::string, std::string>>;

/** A whole answer. */
struct Answer {
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    Headers headers;
};

/** An answer with this JSON body. */
Answer json(const boost::json::value&, unsigned status = 200);
/** An answer whose body says what is wrong. */
Answer failure(unsigned status, std::string_view message);
/** A refusal before the request ran: 503 with `X-Not-Run: 1`. */
Answer notRun(std::string_view message);

/** Which connections swallow everything and answer nothing, but for paths below `/control/`. */
enum class Silence {
    None,
    /** Those that are open now; new ones work. */
    Open,
    /** All that there are and will be. */
    All,
};

namespace detail {
    struct ServerState {
        Silence silence = Silence::None;
        /** Connections accepted up to this number are silent. */
        std::uint64_t silentUpTo = 0;
        std::uint64_t accepted = 0;
    };
} // namespace detail

/** One request and the means to answer it. Every write throws when the client is gone. */
class Exchange {
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    Exchange(boost::beast::tcp_stream&, Request, detail::ServerState&, std::uint64_t connection);

    std::string method() const;
    /** The target without its query. */
    std::string path() const;
    /** Last part of the path. */
    std::string lastSegment() const;
    /** Value of a query parameter, or the fallback. */
    std::string query(std::string_view name, std::string_view fallback = {}) const;
    std::string header(std::string_view name) const;
    const std::string& body() const;
    /** Throws boost::system::system_error where the body isn't JSON; the server answers 400. */
    boost::json::value jsonBody() const;

    awaitable<void> answer(Answer);
    awaitable<void> beginStream(std::string_view contentType);
    awaitable<void> writeChunk(std::string_view);
    awaitable<void> endStream();
    /** Sends the head and the first half of the answer, then closes the connection. */
    awaitable<void> truncate(Answer);
    /** Closes the connection at once. */
    void drop();
    /** Swallows what the client sends until it closes the connection, then throws. */
    awaitable<void> hang();
    bool dropped() const { return m_dropped; }
    /** Whether the request is for the stand-in's own switches. */
    bool isControl() const;

private:
    awaitable<void> hangWhereSilent();
    bool isSilent() const;

    boost::beast::tcp_stream& m_stream;
    Request m_request;
    detail::ServerState& m_state;
    std::uint64_t m_connection;
    bool m_dropped = false;
};

using Handler = std::function<awaitable<void>(Exchange&)>;

/** HTTP/1.1 server of one thread, so that stand-ins need no locks. */
class HttpServer {
public:
    HttpServer(std::string address, std::uint16_t port);
    ~HttpServer();

    /** Runs beside the requests, from the start of run(). */
    void addTask(std::function<awaitable<void>()>);
    void setSilence(Silence);
    /** Prints `listening ip:port` and serves until the process is stopped. */
    int run(Handler);

private:
    awaitable<void> acceptAll(boost::asio::ip::tcp::acceptor&);
    awaitable<void> serveConnection(boost::asio::ip::tcp::socket, std::uint64_t number);

    std::string m_address;
    std::uint16_t m_port;
    Handler m_handler;
    std::vector<std::function<awaitable<void>()>> m_tasks;
    detail::ServerState m_state;
};

/** Sets the server's silence from a body `{"mode": "open" | "all" | "off"}`; all where absent. */
void applyHang(HttpServer&, const Exchange&);

/** One request on a connection of its own. */
awaitable<std::pair<unsigned, std::string>> httpGet(std::string endpoint, std::string target);

} // namespace standins
