#include "review/harness-2/harness.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr int fileMode = 0644;
    constexpr std::size_t readBytes = 64 * 1024;
    constexpr milliseconds serverReadLimit { 120000 };
    /** The command of the deploy file. */
    constexpr const char* program = "target/src/daemons/yuccashift-entry";
    constexpr const char* settingsVariable = "YUCCASHIFT_NODE_FILE";

    sockaddr_in addressOf(const std::string& ip, std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    bool sameText(std::string_view left, std::string_view right)
    {
        return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    }

    std::string trimmed(std::string_view text)
    {
        const auto begin = text.find_first_not_of(" \t");
        if (begin == std::string_view::npos)
            return {};
        return std::string(text.substr(begin, text.find_last_not_of(" \t") - begin + 1));
    }

    int waitFor(int socket, short events, Instant deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        pollfd request { socket, events, 0 };
        return left <= 0 ? 0 : ::poll(&request, 1, static_cast<int>(left));
    }

    std::string encodeBase64(std::string_view bytes)
    {
        constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            const auto n = std::min<std::size_t>(3, bytes.size() - i);
            for (std::size_t k = 0; k < 3; ++k)
                group = (group << 8) | (k < n ? static_cast<unsigned char>(bytes[i + k]) : 0U);
            for (std::size_t k = 0; k < 4; ++k)
                out += k <= n ? digits[(group >> (18 - 6 * k)) & 63] : '=';
        }
        return out;
    }

    template <typename Number>
    Number numberIn(std::string_view text, Number fallback, int base = 10)
    {
        Number value {};
        const auto result = std::from_chars(text.data(), text.data() + text.size(), value, base);
        return result.ec == std::errc() ? value : fallback;
    }

    std::string itemJson(const std::string& key, const std::string& value, std::int64_t revision)
    {
        const auto number = std::to_string(revision);
        std::string out = R"({"key":")";
        out.append(key).append(R"(","value":")").append(encodeBase64(value)).append(R"(","revision":)").append(number);
        out.append(R"(,"created":)").append(number).append(R"(,"lease":0})");
        return out;
    }

} // namespace

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

std::int64_t sinceMs(Instant time)
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - time).count();
}

bool withTrouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string_view(text) != "0";
}

Record::Record(const std::string& file)
    : m_file(::open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC, fileMode))
{
    if (m_file < 0)
        throw std::runtime_error("cannot write " + file);
}

Record::~Record()
{
    ::close(m_file);
}

void Record::line(const std::string& text)
{
    std::array<char, 32> time {};
    std::snprintf(time.data(), time.size(), "%8.3f ", static_cast<double>(sinceMs(m_startedAt)) / 1000);
    const auto whole = time.data() + text + "\n";
    const std::lock_guard lock(m_mutex);
    if (::write(m_file, whole.data(), whole.size()) < 0)
        std::perror("record");
}

std::string Message::field(std::string_view name) const
{
    const auto it = std::ranges::find_if(fields, [&](const auto& entry) { return sameText(entry.first, name); });
    return it == fields.end() ? std::string() : it->second;
}

std::string Message::query(std::string_view name) const
{
    const auto at = target.find('?');
    std::istringstream parts(at == std::string::npos ? std::string() : target.substr(at + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        const auto equals = part.find('=');
        if (part.substr(0, equals) != name || equals == std::string::npos)
            continue;
        std::string out;
        for (std::size_t i = equals + 1; i < part.size(); ++i) {
            if (part[i] != '%' || i + 2 >= part.size()) {
                out += part[i];
                continue;
            }
            out += static_cast<char>(numberIn<unsigned>(std::string_view(part).substr(i + 1, 2), 0, 16));
            i += 2;
        }
        return out;
    }
    return {};
}

Connection::~Connection()
{
    if (m_socket >= 0)
        ::close(m_socket);
}

std::unique_ptr<Connection> Connection::open(const std::string& ip, std::uint16_t port, milliseconds limit)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (socket < 0)
        return nullptr;
    auto connection = std::make_unique<Connection>(socket);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto address = addressOf(ip, port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        if (errno != EINPROGRESS || waitFor(socket, POLLOUT, Clock::now() + limit) <= 0)
            return nullptr;
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0)
            return nullptr;
    }
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    return connection;
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            m_closed = true;
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool Connection::readMore(Instant deadline)
{
    if (m_closed || waitFor(m_socket, POLLIN, deadline) <= 0)
        return false;
    const auto before = m_input.size();
    m_input.resize(before + readBytes);
    const auto n = ::recv(m_socket, m_input.data() + before, readBytes, 0);
    m_input.resize(before + static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    m_closed = n <= 0;
    return n > 0;
}

std::optional<std::string> Connection::readLine(Instant deadline)
{
    for (;;) {
        const auto end = m_input.find("\r\n");
        if (end != std::string::npos) {
            auto line = m_input.substr(0, end);
            m_input.erase(0, end + 2);
            return line;
        }
        if (!readMore(deadline))
            return {};
    }
}

bool Connection::readHead(Message& message, Instant deadline)
{
    for (;;) {
        const auto line = readLine(deadline);
        if (!line)
            return false;
        if (line->empty())
            return true;
        const auto colon = line->find(':');
        if (colon != std::string::npos)
            message.fields.emplace_back(line->substr(0, colon), trimmed(std::string_view(*line).substr(colon + 1)));
    }
}

bool Connection::readCount(std::string& out, std::size_t count, Instant deadline)
{
    while (m_input.size() < count) {
        if (!readMore(deadline)) {
            out += std::exchange(m_input, {});
            return false;
        }
    }
    out += m_input.substr(0, count);
    m_input.erase(0, count);
    return true;
}

bool Connection::readChunks(std::string& out, Instant deadline)
{
    for (;;) {
        const auto line = readLine(deadline);
        if (!line)
            return false;
        const auto size = numberIn<std::size_t>(*line, 0, 16);
        if (size > 0 && !readCount(out, size, deadline))
            return false;
        const auto end = readLine(deadline);
        if (!end)
            return false;
        if (size == 0)
            return true;
    }
}

std::optional<Message> Connection::readRequest(Instant deadline)
{
    const auto line = readLine(deadline);
    if (!line)
        return {};
    Message request;
    std::istringstream(*line) >> request.method >> request.target;
    if (!readHead(request, deadline))
        return {};
    const bool whole = sameText(request.field("Transfer-Encoding"), "chunked") ? readChunks(request.body, deadline) : readCount(request.body, numberIn<std::size_t>(request.field("Content-Length"), 0), deadline);
    if (!whole)
        return {};
    return request;
}

Message Connection::readAnswer(Instant deadline)
{
    Message answer;
    const auto line = readLine(deadline);
    if (!line || !line->starts_with("HTTP/1.1 "))
        return answer;
    answer.status = numberIn(std::string_view(*line).substr(9, 3), 0);
    if (!readHead(answer, deadline))
        return answer;
    if (sameText(answer.field("Transfer-Encoding"), "chunked")) {
        answer.complete = readChunks(answer.body, deadline);
    } else if (const auto length = answer.field("Content-Length"); !length.empty()) {
        answer.complete = readCount(answer.body, numberIn<std::size_t>(length, 0), deadline);
    } else {
        while (readMore(deadline)) { }
        answer.body = std::exchange(m_input, {});
        answer.complete = m_closed;
    }
    return answer;
}

void Connection::reset()
{
    const linger now { 1, 0 };
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    m_closed = true;
    ::close(std::exchange(m_socket, -1));
}

void Connection::shutDown() const
{
    ::shutdown(m_socket, SHUT_RDWR);
}

bool Connection::peerClosed() const
{
    pollfd state { m_socket, POLLRDHUP, 0 };
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::string answerText(int status, const Fields& fields, std::string_view body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const auto& [name, value] : fields)
        out.append(name).append(": ").append(value).append("\r\n");
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    return out;
}

HttpServer::HttpServer(std::string ip, std::uint16_t port, Handler handler)
    : m_ip(std::move(ip))
    , m_port(port)
    , m_handler(std::move(handler))
{
    start();
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::start()
{
    if (m_listener >= 0)
        return;
    m_stopping = false;
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = addressOf(m_ip, m_port);
    socklen_t size = sizeof address;
    constexpr int backlog = 512;
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(m_listener, backlog) != 0)
        throw std::runtime_error("cannot listen at " + m_ip);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this, listener = m_listener] { accept(listener); });
}

void HttpServer::stop()
{
    if (m_listener < 0)
        return;
    m_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(std::exchange(m_listener, -1));
    std::unique_lock lock(m_mutex);
    for (const int socket : m_sockets)
        ::shutdown(socket, SHUT_RDWR);
    m_ended.wait(lock, [this] { return m_sockets.empty(); });
}

void HttpServer::accept(int listener)
{
    while (!m_stopping) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            if (m_stopping || errno == EINVAL || errno == EBADF)
                return;
            sleepFor(milliseconds(1));
            continue;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(m_mutex);
        if (m_stopping) {
            ::close(socket);
            return;
        }
        m_sockets.insert(socket);
        std::thread([this, socket] { serve(socket); }).detach();
    }
}

void HttpServer::serve(int socket)
{
    auto connection = std::make_unique<Connection>(socket);
    while (!m_stopping && !connection->closed()) {
        const auto request = connection->readRequest(Clock::now() + serverReadLimit);
        if (!request)
            break;
        m_handler(*connection, *request);
    }
    const std::lock_guard lock(m_mutex);
    // Before the close, after which the number may name another connection.
    m_sockets.erase(socket);
    connection.reset();
    m_ended.notify_all();
}

Store::Store(const std::string& ip, std::uint16_t port)
    : m_server(ip, port, [this](Connection& connection, const Message& request) { handle(connection, request); })
{
}

void Store::write(const std::string& key, std::optional<std::string> value)
{
    ++m_revision;
    if (value)
        m_items[key] = { *value, m_revision };
    else
        m_items.erase(key);
    m_history.push_back({ key, std::move(value), m_revision });
    m_changed.notify_all();
}

void Store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    write(key, value);
}

void Store::erase(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    if (m_items.contains(key))
        write(key, std::nullopt);
}

Store::Copy Store::copy()
{
    const std::lock_guard lock(m_mutex);
    return { m_items, m_revision };
}

void Store::drill(const Copy& copy, milliseconds away)
{
    {
        const std::lock_guard lock(m_mutex);
        m_away = true;
        m_changed.notify_all();
    }
    sleepFor(away);
    const std::lock_guard lock(m_mutex);
    m_away = false;
    m_items = copy.items;
    m_revision = copy.revision;
    std::erase_if(m_history, [&](const Event& it) { return it.revision > copy.revision; });
    ++m_era;
    m_changed.notify_all();
}

std::string Store::range(const Message& request) const
{
    constexpr std::size_t maxItems = 500;
    const auto prefix = request.query("pathPrefix");
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (auto it = m_items.upper_bound(request.query("after")); it != m_items.end() && !more; ++it) {
        if (!it->first.starts_with(prefix))
            continue;
        more = count == maxItems;
        if (more)
            break;
        items.append(count++ > 0 ? "," : "").append(itemJson(it->first, it->second.value, it->second.revision));
    }
    return R"({"items":[)" + items + R"(],"hasMore":)" + (more ? "true" : "false") + R"(,"at":)" + std::to_string(m_revision) + "}";
}

std::optional<std::string> Store::watch(const Message& request, int& status, std::unique_lock<std::mutex>& lock)
{
    const auto after = numberIn<std::int64_t>(request.query("after"), 0);
    const auto until = Clock::now() + milliseconds(numberIn<std::int64_t>(request.query("waitMs"), 0));
    const auto era = m_era;
    const auto cuts = m_cuts;
    const auto isGone = [&] { return after < m_historyFrom || after > m_revision; };
    m_changed.wait_until(lock, until, [&] { return m_revision > after || isGone() || m_away || era != m_era || cuts != m_cuts || m_server.stopping(); });
    if (m_away || (cuts != m_cuts && m_revision <= after))
        return {};
    if (isGone()) {
        status = 410;
        return "{}";
    }
    std::string events;
    for (const auto& it : m_history) {
        if (it.revision <= after)
            continue;
        events += events.empty() ? "" : ",";
        if (it.value)
            events += itemJson(it.key, *it.value, it.revision);
        else
            events += R"({"key":")" + it.key + R"(","revision":)" + std::to_string(it.revision) + R"(,"deleted":true})";
    }
    return R"({"events":[)" + events + R"(],"at":)" + std::to_string(m_revision) + "}";
}

void Store::handle(Connection& connection, const Message& request)
{
    std::unique_lock lock(m_mutex);
    int status = 200;
    std::optional<std::string> body;
    if (m_away)
        body.reset();
    else if (request.path() == "/yuccashift/kv-range")
        body = range(request);
    else if (request.path() == "/yuccashift/kv-watch")
        body = watch(request, status, lock);
    else
        status = 404;
    const auto era = std::to_string(m_era);
    lock.unlock();
    if (!body && status != 404)
        connection.reset();
    else
        connection.send(answerText(status, { { "Content-Type", "application/json" }, { "Store-Era", era } }, body.value_or("{}")));
}

void Store::cutWatches()
{
    const std::lock_guard lock(m_mutex);
    ++m_cuts;
    m_changed.notify_all();
}

Entry::Entry(Machine machine, Ports ports, std::string folder)
    : m_machine(std::move(machine))
    , m_ports(ports)
    , m_folder(std::move(folder))
{
}

Entry::~Entry()
{
    if (runs()) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

bool Entry::start(const std::string& settings)
{
    const auto name = m_folder + "/" + m_machine.name + "-" + std::to_string(++m_starts);
    const auto file = name + ".yaml";
    std::ofstream(file) << settings;
    const auto log = name + ".log";
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, fileMode);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        const std::string variable = std::string(settingsVariable) + "=" + file;
        const std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
        std::array<char*, 3> environment { const_cast<char*>(variable.c_str()), const_cast<char*>(path.c_str()), nullptr };
        std::array<char*, 2> command { const_cast<char*>(program), nullptr };
        ::execve(program, command.data(), environment.data());
        ::_exit(127);
    }
    return m_pid > 0;
}

void Entry::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

bool Entry::runs()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = -1;
    return m_pid > 0;
}

bool Entry::waitReady(milliseconds limit)
{
    const auto deadline = Clock::now() + limit;
    while (Clock::now() < deadline) {
        if (!runs())
            return false;
        auto connection = Connection::open(m_machine.ip, m_ports.ready, milliseconds(200));
        if (connection) {
            connection->send("GET /yuccashift/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
            if (connection->readAnswer(Clock::now() + milliseconds(500)).status == 200)
                return true;
        }
        sleepFor(milliseconds(50));
    }
    return false;
}

std::size_t Entry::memoryBytes() const
{
    std::ifstream in("/proc/" + std::to_string(m_pid) + "/statm");
    std::size_t size = 0;
    std::size_t resident = 0;
    in >> size >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

milliseconds Entry::processorTime() const
{
    std::ifstream in("/proc/" + std::to_string(m_pid) + "/stat");
    std::string word;
    constexpr int fieldsBeforeTimes = 13;
    for (int n = 0; n < fieldsBeforeTimes && in >> word; ++n) { }
    std::int64_t user = 0;
    std::int64_t system = 0;
    in >> user >> system;
    return milliseconds((user + system) * 1000 / ::sysconf(_SC_CLK_TCK));
}

std::string Entry::metrics() const
{
    auto connection = Connection::open(m_machine.ip, m_ports.control, milliseconds(500));
    if (!connection)
        return {};
    connection->send("GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n");
    return connection->readAnswer(Clock::now() + milliseconds(2000)).body;
}

std::uint16_t freePort(const std::string& ip)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = addressOf(ip, 0);
    socklen_t size = sizeof address;
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0)
        throw std::runtime_error("cannot bind " + ip);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

Deployment::Deployment()
{
    std::signal(SIGPIPE, SIG_IGN);
    auto folder = (std::filesystem::temp_directory_path() / "yuccashift-review-XXXXXX").string();
    if (!::mkdtemp(folder.data()))
        throw std::runtime_error("cannot make a temporary folder");
    m_folder = folder;
    const auto pid = static_cast<unsigned>(::getpid());
    m_network = "127." + std::to_string(pid / 250 % 250 + 1) + "." + std::to_string(pid % 250 + 1) + ".";
    const auto ip = newAddress();
    std::set<std::uint16_t> chosen;
    while (chosen.size() < 5)
        chosen.insert(freePort(ip));
    auto it = chosen.begin();
    m_ports = { *it++, *it++, *it++, *it++, *it++ };
    m_store = std::make_unique<Store>(ip, 0);
}

Deployment::~Deployment()
{
    m_machines.clear();
    m_store.reset();
    std::error_code ec;
    if (!std::getenv("KEEP"))
        std::filesystem::remove_all(m_folder, ec);
    else
        std::fprintf(stderr, "kept %s\n", m_folder.c_str());
}

std::string Deployment::newAddress()
{
    return m_network + std::to_string(++m_addresses);
}

Entry& Deployment::add(const std::string& name, const std::string& zone, const std::string& region)
{
    m_zones[zone] = region;
    m_machines.push_back(std::make_unique<Entry>(Machine { name, newAddress(), zone, region }, m_ports, m_folder));
    return *m_machines.back();
}

std::string Deployment::settingsFor(const Entry& entry) const
{
    const auto& machine = entry.machine();
    const auto at = [&](std::uint16_t port) { return "\"" + machine.ip + ":" + std::to_string(port) + "\"\n"; };
    std::ostringstream out;
    out << "node: \"" << machine.name << "\"\nrole: \"entry\"\nmachineClass: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n  - \"directory\"\n"
        << "ip: \"" << machine.ip << "\"\nzone: \"" << machine.zone << "\"\nregion: \"" << machine.region << "\"\nzones:\n";
    for (const auto& [zone, region] : m_zones)
        out << "  " << zone << ": \"" << region << "\"\n";
    out << "listen:\n  front: " << at(m_ports.front) << "  ready: " << at(m_ports.ready) << "  control: " << at(m_ports.control) << "  directory: " << at(m_ports.directory)
        << "internalPorts:\n  - " << m_ports.internal << "\n  - " << m_ports.internal << "\nseeds:\n";
    constexpr std::size_t maxSeeds = 3;
    for (std::size_t n = 0; n < std::min(maxSeeds, m_machines.size()); ++n)
        out << "  - \"" << m_machines[n]->machine().ip << ":" << m_ports.control << "\"\n";
    out << "bootstrap: true\ninLossBudget: false\nlimits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: 260\n  fileDescriptors: 4100\n  linkMbps: 1000.0\n  diskMb: 0\n"
        << "dataDir: null\ndiscovery: \"platform\"\nentry: \"directory\"\nheartbeatMs: 1200\nfaultTolerance:\n  machines: 2\n  zones: 1\n  regions: 1\n"
        << "bounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  stabilityWindowMs: 5000\n  ackMs: 6000\n  syncS: 4\n  drainMs: 3000\n  graceS: 8\n  lossSlackMs: 200\n"
        << "  configMs: 3000\n  rollbackSlackMs: 250\n  outerMs: 8000\n  budgetRatio: 0.2\n  budgetWindowS: 10\n  budgetSlack: 58\n  coldOverage: 1.5\n  coldSlack: 3\n"
        << "  evacuationMs: 5000\n  recoveryS: 12\n  passMs: 600\n  reuseWindowS: 10\n  ttl_max_s: 5\n"
        << "platform:\n  address: \"" << m_store->address() << "\"\n  form: \"read\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n  valueBytes: 1048576\n  ttlMinMs: 1000\n";
    return out.str();
}

bool Deployment::restart(Entry& entry)
{
    return entry.start(settingsFor(entry));
}

bool Deployment::startAll()
{
    for (const auto& it : m_machines) {
        if (!restart(*it))
            return false;
    }
    constexpr milliseconds readyLimit { 10000 };
    for (const auto& it : m_machines) {
        if (!it->waitReady(readyLimit))
            return false;
    }
    const auto expected = "yuccashift_instances_heard " + std::to_string(m_machines.size() - 1) + "\n";
    const auto deadline = Clock::now() + readyLimit;
    return std::ranges::all_of(m_machines, [&](const auto& it) {
        while (it->metrics().find(expected) == std::string::npos) {
            if (Clock::now() > deadline)
                return false;
            sleepFor(milliseconds(100));
        }
        return true;
    });
}

} // namespace review
