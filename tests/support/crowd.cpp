#include "tests/support/crowd.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <netinet/in.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace yuccashift::test {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr std::size_t kibi = 1024;
    /** Small, so that a client that does not read leaves its answer to the server. */
    constexpr int receiveBufferBytes = 4 * kibi;
    constexpr std::size_t writesPerTurn = 4;
    constexpr std::chrono::milliseconds pollTimeout { 50 };
    constexpr std::chrono::milliseconds observeInterval { 100 };
    /** Time without progress after which no client is read from any more. */
    constexpr std::chrono::milliseconds stallTimeout { 2000 };
    /** Limits the time of a crowd whose server reads slowly. */
    constexpr std::chrono::seconds longestPlay { 25 };

    std::string chunk(std::size_t bytes)
    {
        std::ostringstream text;
        text << std::hex << bytes << "\r\n"
             << std::string(bytes, 'x') << "\r\n";
        return text.str();
    }

    /** Repeats a short text, so that a client sends much at a time. */
    std::string repeated(const std::string& text)
    {
        std::string all;
        while (all.size() < 32 * kibi)
            all += text;
        return all;
    }

    /** An address and port as /proc/net/tcp writes them. */
    std::string kernelNotation(const Endpoint& endpoint)
    {
        in_addr address {};
        if (::inet_pton(AF_INET, endpoint.host.c_str(), &address) != 1)
            throw std::runtime_error(endpoint.host + " is not an IPv4 address");
        std::ostringstream text;
        text << std::uppercase << std::hex << std::setfill('0') << std::setw(8) << address.s_addr << ":" << std::setw(4) << endpoint.port;
        return text.str();
    }

} // namespace

Crowd::Crowd(const CrowdSpec& spec)
    : m_spec(spec)
    , m_limit(spec.bytesEach)
{
    const auto line = [&](std::string_view method) { return std::string(method) + " " + spec.target + " HTTP/1.1\r\nHost: a.example\r\n" + spec.headers; };
    const auto chunked = line("POST") + "Transfer-Encoding: chunked\r\n\r\n";
    switch (spec.behaviour) {
    case CrowdBehaviour::TrailersWithoutEnd:
        m_first = chunked + chunk(1) + "0\r\n";
        m_repeated = repeated("X-Trailer: " + std::string(53, 'x') + "\r\n");
        break;
    case CrowdBehaviour::ChunkLineWithoutEnd:
        m_first = chunked + "1;";
        m_repeated = repeated("x");
        break;
    case CrowdBehaviour::LargeChunks:
        m_first = chunked;
        m_repeated = chunk(64 * kibi);
        break;
    case CrowdBehaviour::TinyChunks:
        m_first = chunked;
        m_repeated = repeated(chunk(3));
        break;
    case CrowdBehaviour::AnnouncedBody:
        m_first = line("POST") + "Content-Length: " + std::to_string(spec.announcedBytes) + "\r\n\r\n";
        m_repeated = repeated("x");
        break;
    case CrowdBehaviour::Header:
        m_first = line("POST") + "X-Long: ";
        m_repeated = repeated("x");
        break;
    case CrowdBehaviour::PipelinedRequests:
        m_repeated = repeated(line("GET") + "\r\n");
        break;
    case CrowdBehaviour::LargeFrame:
        m_first = std::string({ 0, '\x80', 0, 0 });
        m_repeated = repeated("x");
        break;
    case CrowdBehaviour::OneRequest:
        m_first = line("GET") + "\r\n";
        m_limit = m_first.size();
        break;
    }
    connect();
}

Crowd::~Crowd()
{
    for (const auto& it : m_clients)
        ::close(it.socket);
}

void Crowd::connect()
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_spec.to.port);
    ::inet_pton(AF_INET, m_spec.to.host.c_str(), &address.sin_addr);
    for (std::size_t n = 0; n < m_spec.connections; ++n) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        if (fd < 0)
            throw std::runtime_error("a crowd got no socket");
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        (void)::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        m_clients.push_back({ fd });
    }
}

std::string_view Crowd::nextBytes(const Client& client) const
{
    std::string_view bytes = m_first;
    if (client.sent < m_first.size()) {
        bytes.remove_prefix(client.sent);
    } else {
        bytes = m_repeated;
        bytes.remove_prefix((client.sent - m_first.size()) % m_repeated.size());
    }
    return bytes.substr(0, m_limit - client.sent);
}

void Crowd::sendSome(Client& client)
{
    for (std::size_t n = 0; n < writesPerTurn && client.sent < m_limit; ++n) {
        const auto bytes = nextBytes(client);
        const auto sent = ::send(client.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0) {
            client.done = errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN;
            return;
        }
        client.sent += static_cast<std::size_t>(sent);
    }
    client.done = client.sent >= m_limit;
}

void Crowd::play(const std::function<bool()>& observe)
{
    const auto end = Clock::now() + longestPlay;
    auto progressAt = Clock::now();
    auto observedAt = Clock::now();
    while (Clock::now() < end && Clock::now() - progressAt < stallTimeout) {
        std::vector<pollfd> waiting;
        std::vector<Client*> clients;
        for (auto& it : m_clients) {
            if (it.done)
                continue;
            waiting.push_back({ it.socket, POLLOUT, 0 });
            clients.push_back(&it);
        }
        if (!waiting.empty() && ::poll(waiting.data(), waiting.size(), static_cast<int>(pollTimeout.count())) > 0) {
            for (std::size_t n = 0; n < clients.size(); ++n) {
                const auto before = clients[n]->sent;
                if (waiting[n].revents != 0)
                    sendSome(*clients[n]);
                if (clients[n]->sent > before || clients[n]->done)
                    progressAt = Clock::now();
            }
        } else {
            // The server still works on what was sent.
            ::poll(nullptr, 0, static_cast<int>(pollTimeout.count()));
        }
        if (Clock::now() - observedAt >= observeInterval) {
            if (!observe())
                return;
            observedAt = Clock::now();
        }
    }
    observe();
}

MemoryRecorder::MemoryRecorder(pid_t pid, std::vector<Endpoint> listeners)
    : m_pid(pid)
{
    std::ranges::transform(listeners, std::back_inserter(m_localAddresses), kernelNotation);
}

std::size_t MemoryRecorder::queuedBytes() const
{
    std::ifstream in("/proc/net/tcp");
    std::size_t sum = 0;
    for (std::string line; std::getline(in, line);) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        constexpr std::string_view listening = "0A";
        if (!(fields >> number >> local >> remote >> state >> queues) || state == listening || std::ranges::find(m_localAddresses, local) == m_localAddresses.end())
            continue;
        const auto colon = queues.find(':');
        sum += std::stoul(queues.substr(0, colon), nullptr, 16) + std::stoul(queues.substr(colon + 1), nullptr, 16);
    }
    return sum;
}

void MemoryRecorder::sample()
{
    m_mostQueued = std::max(m_mostQueued, queuedBytes());
}

std::size_t MemoryRecorder::peakBytes() const
{
    constexpr std::string_view name = "VmHWM:";
    std::ifstream in("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(name))
            return std::stoul(line.substr(name.size())) * kibi + m_mostQueued;
    }
    throw std::runtime_error("the process has ended");
}

std::size_t openDescriptors(pid_t pid)
{
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(pid) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace yuccashift::test
