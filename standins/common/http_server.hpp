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

/** A complete HTTP response. */
struct Answer {
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    Headers headers;
};

/** Builds a response with this JSON body. */
Answer json(const boost::json::value&, unsigned status = 200);
/** Builds an error response whose body contains the message. */
Answer failure(unsigned status, std::string_view message);
/** Builds a response that rejects a request before it was executed: 503 with `X-Not-Run: 1`. */
Answer notRun(std::string_view message);

/** Selects the connections that read requests but never answer them, except for paths below `/control/`. */
enum class Silence {
    None,
    /** Connections open when the mode is set; later ones are answered. */
    Open,
    /** All current and future connections. */
    All,
};

namespace detail {
    struct ServerState {
        Silence silence = Silence::None;
        /** Number of the last accepted connection that is silent; earlier ones are silent too. */
        std::uint64_t silentUpTo = 0;
        std::uint64_t accepted = 0;
        /** Uploads that get half of an answer and a reset before they are read. */
        std::uint64_t uploadsToReset = 0;
    };
} // namespace detail

/** A request together with the functions that answer it. Writes throw if the client has disconnected. */
class Exchange {
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    Exchange(boost::beast::tcp_stream&, Request, detail::ServerState&, std::uint64_t connection);

    std::string method() const;
    /** Returns the request target without its query. */
    std::string path() const;
    /** Returns the last segment of the path. */
    std::string lastSegment() const;
    /** Returns the value of a query parameter, or the fallback if it is absent. */
    std::string query(std::string_view name, std::string_view fallback = {}) const;
    std::string header(std::string_view name) const;
    const std::string& body() const;
    /** Parses the body; an empty body gives an empty object. Throws boost::system::system_error if the body isn't JSON, which the server answers with 400. */
    boost::json::value jsonBody() const;

    awaitable<void> answer(Answer);
    /** Lets the stream end with its connection instead of sending it in chunks; to be called before beginStream(). */
    void setUnframed() { m_unframed = true; }
    awaitable<void> beginStream(std::string_view contentType);
    awaitable<void> writeChunk(std::string_view);
    awaitable<void> endStream();
    /** Sends these bytes as they are, then closes the connection. */
    awaitable<void> sendRaw(std::string_view);
    /** Sends the header and the first half of the body, then closes the connection. */
    awaitable<void> truncate(Answer);
    /** Closes the connection without answering. */
    void drop();
    /** Reads and discards data until the client closes the connection, then throws. */
    awaitable<void> hang();
    bool dropped() const { return m_dropped; }
    /** Returns whether the path is below `/control/`, where tests configure the stand-in. */
    bool isControl() const;

private:
    awaitable<void> hangIfSilent();
    bool isSilent() const;

    boost::beast::tcp_stream& m_stream;
    Request m_request;
    detail::ServerState& m_state;
    std::uint64_t m_connection;
    bool m_dropped = false;
    bool m_unframed = false;
};

using Handler = std::function<awaitable<void>(Exchange&)>;

/** Single-threaded HTTP/1.1 server, so that stand-ins need no locks. */
class HttpServer {
public:
    HttpServer(std::string address, std::uint16_t port);
    ~HttpServer();

    /** Adds a coroutine that run() starts and runs concurrently with the requests. */
    void addTask(std::function<awaitable<void>()>);
    void setSilence(Silence);
    /** Answers the next uploads before reading them: with a part of an answer without a length, then a reset of the connection. */
    void resetUploads(std::uint64_t count) { m_state.uploadsToReset = count; }
    /** Prints `listening ip:port` and serves requests until the process is stopped. */
    int run(Handler);

private:
    awaitable<void> acceptAll(boost::asio::ip::tcp::acceptor&);
    awaitable<void> serveConnection(boost::asio::ip::tcp::socket, std::uint64_t number);
    awaitable<void> answerEarlyAndReset(boost::beast::tcp_stream&);

    std::string m_address;
    std::uint16_t m_port;
    Handler m_handler;
    std::vector<std::function<awaitable<void>()>> m_tasks;
    detail::ServerState m_state;
};

/** Sets the server's silence mode from a request body `{"mode": "open" | "all" | "off"}`; a missing mode means "all". */
void applyHang(HttpServer&, const Exchange&);

/** Sends a GET request on a new connection and returns the status and the body. */
awaitable<std::pair<unsigned, std::string>> httpGet(std::string endpoint, std::string target);

} // namespace standins
