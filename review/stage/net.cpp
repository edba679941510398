#include "review/stage/net.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace stage {

namespace {

    constexpr std::size_t readBytes = 64 * 1024;
    constexpr int backlog = 256;
    constexpr int hexBase = 16;

    sockaddr_in addressOf(const std::string& ip, std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1)
            throw std::runtime_error("not an address: " + ip);
        return address;
    }

    void setNoDelay(int fd)
    {
        const int on = 1;
        (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    int listenAt(const std::string& ip, std::uint16_t port)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = addressOf(ip, port);
        if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, backlog) != 0) {
            close(fd);
            return -1;
        }
        return fd;
    }

    std::uint16_t portOf(int fd)
    {
        sockaddr_in address {};
        socklen_t size = sizeof address;
        if (getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            throw std::runtime_error("a listener without a port");
        return ntohs(address.sin_port);
    }

    int millisecondsUntil(Clock::time_point until)
    {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now()).count();
        return static_cast<int>(std::clamp<std::int64_t>(left, 0, 3'600'000));
    }

    std::string_view trimmed(std::string_view text)
    {
        while (text.starts_with(' '))
            text.remove_prefix(1);
        while (text.ends_with(' ') || text.ends_with('\r'))
            text.remove_suffix(1);
        return text;
    }

    std::size_t numberOf(std::string_view text, int base)
    {
        std::size_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value, base);
        return value;
    }

} // namespace

std::string Message::header(std::string_view name) const
{
    const auto it = std::ranges::find_if(headers, [&](const auto& field) { return field.first.size() == name.size() && strncasecmp(field.first.data(), name.data(), name.size()) == 0; });
    return it == headers.end() ? std::string() : it->second;
}

Connection::Connection(int fd)
    : m_fd(fd)
{
    setNoDelay(fd);
}

Connection::~Connection()
{
    close(m_fd);
}

std::unique_ptr<Connection> Connection::open(const std::string& ip, std::uint16_t port, std::chrono::milliseconds limit)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0)
        return nullptr;
    auto connection = std::make_unique<Connection>(fd);
    const auto address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        pollfd state { fd, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || poll(&state, 1, static_cast<int>(limit.count())) != 1 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return nullptr;
    }
    (void)fcntl(fd, F_SETFL, 0);
    return connection;
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

void Connection::shutDown() const
{
    ::shutdown(m_fd, SHUT_RDWR);
}

bool Connection::fill(Clock::time_point until)
{
    pollfd state { m_fd, POLLIN, 0 };
    if (m_closedByPeer || poll(&state, 1, millisecondsUntil(until)) != 1)
        return false;
    thread_local std::array<char, readBytes> buffer;
    const auto n = recv(m_fd, buffer.data(), buffer.size(), 0);
    if (n <= 0) {
        m_closedByPeer = true;
        return false;
    }
    m_input.append(buffer.data(), static_cast<std::size_t>(n));
    return true;
}

std::optional<Message> Connection::readHead(Clock::time_point until)
{
    std::size_t end = 0;
    while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until))
            return {};
    }
    Message message;
    std::string_view head(m_input.data(), end);
    auto line = head.substr(0, head.find("\r\n"));
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    message.method = std::string(line.substr(0, first));
    if (first != std::string_view::npos)
        message.target = std::string(line.substr(first + 1, second == std::string_view::npos ? second : second - first - 1));
    message.status = static_cast<int>(numberOf(message.target, 10));
    for (head.remove_prefix(line.size()); head.starts_with("\r\n"); head.remove_prefix(line.size())) {
        head.remove_prefix(2);
        line = head.substr(0, head.find("\r\n"));
        const auto colon = line.find(':');
        if (colon != std::string_view::npos)
            message.headers.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    }
    m_input.erase(0, end + 4);
    return message;
}

void Connection::readChunks(Message& message, Clock::time_point until)
{
    for (;;) {
        std::size_t end = 0;
        while ((end = m_input.find("\r\n")) == std::string::npos) {
            if (!fill(until))
                return;
        }
        const auto size = numberOf(std::string_view(m_input).substr(0, end), hexBase);
        while (m_input.size() < end + 2 + size + 2) {
            if (!fill(until))
                return;
        }
        message.body.append(m_input, end + 2, size);
        m_input.erase(0, end + 2 + size + 2);
        if (size == 0) {
            message.whole = true;
            return;
        }
    }
}

void Connection::readBody(Message& message, Clock::time_point until)
{
    if (!message.header("Transfer-Encoding").empty())
        return readChunks(message, until);
    const auto length = message.header("Content-Length");
    const bool isAnswer = message.method.starts_with("HTTP/");
    if (length.empty() && isAnswer) {
        while (fill(until)) { }
        message.body = std::move(m_input);
        m_input.clear();
        message.whole = m_closedByPeer;
        return;
    }
    const auto size = numberOf(length, 10);
    while (m_input.size() < size) {
        if (!fill(until))
            break;
    }
    message.whole = m_input.size() >= size;
    message.body = m_input.substr(0, size);
    m_input.erase(0, size);
}

std::optional<Message> Connection::readRequest()
{
    constexpr auto forever = std::chrono::hours(1);
    const auto until = Clock::now() + forever;
    auto message = readHead(until);
    if (message)
        readBody(*message, until);
    if (!message || !message->whole)
        return {};
    return message;
}

std::optional<Message> Connection::readAnswer(Clock::time_point until)
{
    auto message = readHead(until);
    if (message)
        readBody(*message, until);
    return message;
}

Server::Server(const std::string& ip, std::uint16_t port, Handler handler)
    : m_handler(std::move(handler))
    , m_fd(listenAt(ip, port))
{
    if (m_fd < 0)
        throw std::runtime_error("cannot listen at " + ip);
    m_port = portOf(m_fd);
    m_acceptor = std::thread([this] { accept(); });
}

Server::~Server()
{
    stop();
}

void Server::accept()
{
    while (!m_cut) {
        const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        const auto connection = std::make_shared<Connection>(fd);
        const std::lock_guard lock(m_mutex);
        if (m_cut)
            return;
        m_connections.insert(connection);
        m_threads.emplace_back([this, connection] {
            m_handler(*connection);
            connection->shutDown();
            const std::lock_guard innerLock(m_mutex);
            m_connections.erase(connection);
        });
    }
}

void Server::cut()
{
    m_cut = true;
    ::shutdown(m_fd, SHUT_RDWR);
    const std::lock_guard lock(m_mutex);
    for (const auto& it : m_connections)
        it->shutDown();
}

void Server::stop()
{
    if (m_stopped)
        return;
    m_stopped = true;
    cut();
    m_acceptor.join();
    close(m_fd);
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        threads.swap(m_threads);
    }
    for (auto& it : threads)
        it.join();
}

std::string answerText(int status, const Headers& headers, std::string_view body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    for (const auto& [name, value] : headers)
        out.append(name).append(": ").append(value).append("\r\n");
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    return out;
}

std::optional<Message> call(const std::string& ip, std::uint16_t port, const std::string& method, const std::string& target)
{
    constexpr std::chrono::milliseconds limit { 1000 };
    const auto connection = Connection::open(ip, port, limit);
    if (!connection || !connection->send(method + " " + target + " HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n\r\n"))
        return {};
    return connection->readAnswer(Clock::now() + limit);
}

std::uint16_t freePort(const std::vector<std::string>& ips)
{
    constexpr int tries = 50;
    for (int n = 0; n < tries; ++n) {
        std::vector<int> held { listenAt(ips.front(), 0) };
        const auto port = portOf(held.front());
        bool free = true;
        for (std::size_t i = 1; i < ips.size(); ++i) {
            const int fd = listenAt(ips[i], port);
            free = free && fd >= 0;
            if (fd >= 0)
                held.push_back(fd);
        }
        for (const int fd : held)
            close(fd);
        if (free)
            return port;
    }
    throw std::runtime_error("no port is free at all addresses");
}

} // namespace stage
