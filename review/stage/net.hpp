#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace stage {

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

/** An HTTP/1.1 request or answer. */
struct Message {
    std::string method;
    std::string target;
    int status = 0;
    Headers headers;
    std::string body;
    /** Whether the body arrived as a whole, by its length or its last chunk. */
    bool whole = false;

    /** The value of the first header of that name, in any case; empty if there is none. */
    std::string header(std::string_view name) const;
};

/** A TCP connection over IPv4 with blocking calls. */
class Connection {
public:
    explicit Connection(int fd);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /** Connects within the time; nullptr if that fails. */
    static std::unique_ptr<Connection> open(const std::string& ip, std::uint16_t port, std::chrono::milliseconds limit);

    bool send(std::string_view bytes);
    /** Reads a request; std::nullopt if the connection ends first. */
    std::optional<Message> readRequest();
    /** Reads an answer until the time; std::nullopt if no head arrived. */
    std::optional<Message> readAnswer(Clock::time_point until);
    /** Whether the other end has closed or reset the connection. */
    bool closedByPeer() const { return m_closedByPeer; }
    /** Lets both ends fail from now on; may be called by another thread. */
    void shutDown() const;

private:
    bool fill(Clock::time_point until);
    std::optional<Message> readHead(Clock::time_point until);
    void readBody(Message& message, Clock::time_point until);
    void readChunks(Message& message, Clock::time_point until);

    int m_fd;
    std::string m_input;
    bool m_closedByPeer = false;
};

/** A server with one thread for each connection. */
class Server {
public:
    using Handler = std::function<void(Connection&)>;

    /** Listens at the address; port 0 takes a free one. */
    Server(const std::string& ip, std::uint16_t port, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    std::uint16_t port() const { return m_port; }
    /** Closes the listener and all connections, as the end of a process would. May be called by a handler. */
    void cut();
    /** The same, and waits for the handlers. */
    void stop();

private:
    void accept();

    Handler m_handler;
    int m_fd = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_cut = false;
    bool m_stopped = false;
    std::mutex m_mutex;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/** A complete answer with its length. */
std::string answerText(int status, const Headers& headers, std::string_view body);
/** Sends one request on a connection of its own. */
std::optional<Message> call(const std::string& ip, std::uint16_t port, const std::string& method, const std::string& target);
/** A port that is free at all the addresses. */
std::uint16_t freePort(const std::vector<std::string>& ips);

} // namespace stage
