#include "harness.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

    constexpr unsigned httpVersion = 11;
    constexpr std::size_t portCount = 5;
    constexpr std::size_t maxBodyBytes = 64UL << 20;
    constexpr const char* program = "target/src/daemons/yuccashift-entry";
    /** Three heartbeat intervals, after which the entry of a silent worker is removed. */
    constexpr milliseconds entryLifetime { 3600 };

    std::vector<std::uint16_t> freePorts(std::size_t count)
    {
        asio::io_context io;
        std::vector<tcp::acceptor> held;
        std::vector<std::uint16_t> ports;
        for (std::size_t n = 0; n < count; ++n) {
            held.emplace_back(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            ports.push_back(held.back().local_endpoint().port());
        }
        return ports;
    }

    std::string encodeBase64(const std::string& bytes)
    {
        namespace base64 = beast::detail::base64;
        std::string out(base64::encoded_size(bytes.size()), '\0');
        out.resize(base64::encode(out.data(), bytes.data(), bytes.size()));
        return out;
    }

    std::string decodePercent(std::string_view text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
                i += 2;
            } else {
                out += text[i];
            }
        }
        return out;
    }

    std::string queryValue(std::string_view target, const std::string& name)
    {
        const auto mark = target.find('?');
        if (mark == std::string_view::npos)
            return {};
        const auto text = "&" + std::string(target.substr(mark + 1));
        const auto begin = text.find("&" + name + "=");
        if (begin == std::string::npos)
            return {};
        const auto value = text.substr(begin + name.size() + 2);
        return decodePercent(value.substr(0, value.find('&')));
    }

    std::int64_t unixMilliseconds()
    {
        return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    Response jsonResponse(const json::object& object)
    {
        Response response(http::status::ok, httpVersion);
        response.set(http::field::content_type, "application/json");
        response.set("Store-Era", "1");
        response.body() = json::serialize(object);
        return response;
    }

    std::string lowerCase(std::string_view text)
    {
        std::string out(text);
        std::ranges::transform(out, out.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return out;
    }

} // namespace

SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

awaitable<void> sleepUntil(SteadyTime time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

awaitable<void> sleepFor(milliseconds time)
{
    co_await sleepUntil(now() + time);
}

bool disrupted()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view(text) != "0";
}

Record::Record(const std::string& file)
    : m_out(file)
    , m_start(now())
{
}

double Record::seconds() const
{
    return std::chrono::duration<double>(now() - m_start).count();
}

void Record::note(const std::string& text)
{
    m_out << std::fixed << std::setprecision(3) << seconds() << " " << text << "\n"
          << std::flush;
}

Connection::Connection(tcp::socket socket)
    : m_socket(std::move(socket))
{
    error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
}

awaitable<void> Connection::answer(Response response)
{
    response.prepare_payload();
    co_await http::async_write(m_socket, response, asio::use_awaitable);
}

awaitable<void> Connection::write(std::string bytes)
{
    co_await asio::async_write(m_socket, asio::buffer(bytes), asio::use_awaitable);
}

void Connection::reset()
{
    error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

void Connection::close()
{
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

bool Connection::peerHasClosed()
{
    if (!m_socket.is_open())
        return true;
    char byte = 0;
    const auto n = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Listener::Listener(asio::io_context& io, tcp::endpoint endpoint, Handler handler)
    : m_io(io)
    , m_endpoint(std::move(endpoint))
    , m_handler(std::move(handler))
{
}

void Listener::open()
{
    if (m_acceptor)
        return;
    m_acceptor.emplace(m_io, m_endpoint, true);
    m_endpoint = m_acceptor->local_endpoint();
    asio::co_spawn(m_io, accept(shared_from_this()), asio::detached);
}

void Listener::shut()
{
    m_acceptor.reset();
    for (const auto& it : std::exchange(m_connections, {}))
        it->reset();
}

awaitable<void> Listener::accept(std::shared_ptr<Listener> self)
{
    while (self->m_acceptor) {
        error_code ec;
        tcp::socket socket = co_await self->m_acceptor->async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec || !self->m_acceptor)
            co_return;
        const auto connection = std::make_shared<Connection>(std::move(socket));
        self->m_connections.insert(connection);
        asio::co_spawn(self->m_io, serve(self, connection), asio::detached);
    }
}

awaitable<void> Listener::serve(std::shared_ptr<Listener> self, std::shared_ptr<Connection> connection)
{
    beast::flat_buffer buf;
    try {
        while (connection->isOpen()) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(maxBodyBytes);
            co_await http::async_read(connection->socket(), buf, parser, asio::use_awaitable);
            const bool keepAlive = parser.get().keep_alive();
            co_await self->m_handler(connection, parser.release());
            if (!keepAlive)
                connection->close();
        }
    } catch (const std::exception&) {
        // The peer has left or the listener was shut: the connection is over.
    }
    connection->close();
    self->m_connections.erase(connection);
}

std::string Reply::header(const std::string& lowerCaseName) const
{
    const auto it = headers.find(lowerCaseName);
    return it == headers.end() ? std::string() : it->second;
}

Request clientRequest(http::verb method, const std::string& path, const std::string& attempt, milliseconds deadline, std::string body)
{
    Request request(method, path, httpVersion);
    request.set(http::field::host, "a.example");
    request.set("X-Attempt-Id", attempt);
    request.set("X-Deadline-Ms", std::to_string(deadline.count()));
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

awaitable<Reply> call(tcp::endpoint to, Request request, milliseconds timeout)
{
    Reply reply;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBodyBytes);
    stream.expires_after(timeout);
    error_code ec;
    co_await stream.async_connect(to, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec)
        co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec)
        co_await http::async_read(stream, buf, parser, asio::redirect_error(asio::use_awaitable, ec));
    reply.complete = !ec;
    if (parser.is_header_done()) {
        reply.status = static_cast<int>(parser.get().result_int());
        for (const auto& field : parser.get())
            reply.headers[lowerCase(field.name_string())] = std::string(field.value());
        reply.body = parser.get().body();
    }
    co_return reply;
}

RawClient::RawClient(asio::io_context& io)
    : m_socket(io)
{
}

awaitable<bool> RawClient::connect(tcp::endpoint to)
{
    error_code ec;
    co_await m_socket.async_connect(to, asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
}

awaitable<bool> RawClient::send(std::string bytes)
{
    error_code ec;
    co_await asio::async_write(m_socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
}

awaitable<std::string> RawClient::read(milliseconds timeout, std::function<bool(const std::string&)> enough)
{
    std::string received;
    std::array<char, 4096> buf {};
    error_code ec;
    asio::steady_timer timer(m_socket.get_executor(), timeout);
    timer.async_wait([this](const error_code& waitError) {
        error_code ignored;
        if (!waitError)
            m_socket.cancel(ignored);
    });
    while (!ec && !(enough && enough(received))) {
        const auto n = co_await m_socket.async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        received.append(buf.data(), n);
    }
    timer.cancel();
    co_return received;
}

Store::Store(asio::io_context& io, tcp::endpoint endpoint)
    : m_listener(std::make_shared<Listener>(io, std::move(endpoint), [this](auto connection, auto request) { return handle(std::move(connection), std::move(request)); }))
{
    m_listener->open();
}

void Store::put(const std::string& key, const std::string& value)
{
    m_items[key] = { value, ++m_revision };
    m_history.push_back({ key, value, m_revision });
}

void Store::remove(const std::string& key)
{
    if (m_items.erase(key) == 0)
        return;
    m_history.push_back({ key, std::nullopt, ++m_revision });
}

void Store::setDown(bool down)
{
    if (down)
        m_listener->shut();
    else
        m_listener->open();
}

json::object Store::range(const std::string& prefix, const std::string& after) const
{
    constexpr std::size_t pageItems = 500;
    json::array items;
    bool more = false;
    for (auto it = m_items.upper_bound(after); it != m_items.end(); ++it) {
        if (!it->first.starts_with(prefix))
            continue;
        if (items.size() == pageItems) {
            more = true;
            break;
        }
        items.push_back({ { "key", it->first }, { "value", encodeBase64(it->second.first) }, { "revision", it->second.second }, { "created", it->second.second }, { "lease", 0 } });
    }
    return { { "items", items }, { "hasMore", more }, { "at", m_revision } };
}

json::object Store::events(std::int64_t after) const
{
    json::array list;
    for (const auto& change : m_history) {
        if (change.revision <= after)
            continue;
        if (change.value)
            list.push_back({ { "key", change.key }, { "value", encodeBase64(*change.value) }, { "revision", change.revision }, { "created", change.revision }, { "lease", 0 } });
        else
            list.push_back({ { "key", change.key }, { "revision", change.revision }, { "deleted", true } });
    }
    return { { "events", list }, { "at", m_revision } };
}

awaitable<void> Store::handle(std::shared_ptr<Connection> connection, Request request)
{
    const std::string target(request.target());
    const auto path = target.substr(0, target.find('?'));
    const auto after = queryValue(target, "after");
    if (path == "/yuccashift/kv-range") {
        co_await connection->answer(jsonResponse(range(queryValue(target, "pathPrefix"), after)));
        co_return;
    }
    const auto from = after.empty() ? 0 : std::stoll(after);
    const auto wait = queryValue(target, "waitMs");
    const auto deadline = now() + milliseconds(wait.empty() ? 0 : std::stoll(wait));
    while (m_revision <= from && now() < deadline)
        co_await sleepFor(milliseconds(4));
    co_await connection->answer(jsonResponse(events(from)));
}

Worker::Worker(Lab& lab, WorkerSpec spec, tcp::endpoint endpoint)
    : m_lab(lab)
    , m_spec(std::move(spec))
    , m_listener(std::make_shared<Listener>(lab.io, std::move(endpoint), [this](auto connection, auto request) { return handle(std::move(connection), std::move(request)); }))
{
    run = [](Worker& self, std::shared_ptr<Connection> connection, const Request& request) -> awaitable<void> {
        co_await sleepFor(self.spec().work);
        co_await connection->answer(self.answerTo(request));
    };
}

void Worker::start()
{
    ++m_incarnation;
    m_id = "i-" + m_spec.name + "-" + std::to_string(m_incarnation);
    m_up = true;
    m_listener->open();
    publish();
}

void Worker::publish(const std::string& state)
{
    const auto at = m_listener->endpoint();
    json::object entry { { "service", m_spec.service }, { "address", at.address().to_string() + ":" + std::to_string(at.port()) }, { "zone", m_spec.zone }, { "version", m_spec.version }, { "slots", m_spec.slots }, { "state", state }, { "coldRemainingMs", 0 }, { "born", unixMilliseconds() }, { "sequence", 1 } };
    if (m_spec.engine)
        entry["stage"] = "both";
    m_lab.store->put("servers/" + m_id, json::serialize(entry));
}

void Worker::crash(milliseconds downFor)
{
    if (!m_up)
        return;
    m_up = false;
    running = 0;
    waiting = 0;
    m_lab.record.note("worker " + m_id + " crashes");
    // Posted, since the code that ends the process runs inside one of its connections.
    asio::post(m_lab.io, [listener = m_listener] { listener->shut(); });
    asio::co_spawn(m_lab.io, comeBack(downFor, m_id), asio::detached);
}

awaitable<void> Worker::comeBack(milliseconds downFor, std::string oldId)
{
    const auto gone = now() + entryLifetime;
    co_await sleepFor(downFor);
    start();
    m_lab.record.note("worker " + m_id + " starts");
    co_await sleepUntil(std::max(gone, now()));
    m_lab.store->remove("servers/" + oldId);
}

std::string Worker::sealOf(const std::string& attempt) const
{
    return m_id + "." + attempt;
}

Response Worker::answerTo(const Request& request) const
{
    Response response(http::status::ok, httpVersion);
    const std::string attempt(request["X-Attempt-Id"]);
    response.set("X-Attempt-Id", attempt);
    response.set("X-Server-Seal", sealOf(attempt));
    for (const auto& [name, value] : statements)
        response.set(name, value);
    response.set(http::field::content_type, "application/octet-stream");
    response.body() = "answer to " + attempt;
    return response;
}

awaitable<void> Worker::handle(std::shared_ptr<Connection> connection, Request request)
{
    if (onArrival)
        onArrival(*this, request);
    const bool health = request.target() == "/health";
    const std::string target(request["X-Target-Instance"]);
    if (!target.empty() && target != m_id) {
        Response response(http::status::misdirected_request, httpVersion);
        response.set("X-Instance-Id", m_id);
        response.set("X-Attempt-Id", request["X-Attempt-Id"]);
        co_await connection->answer(response);
        co_return;
    }
    const auto incarnation = m_incarnation;
    if (running >= m_spec.slots && waiting >= m_spec.queue) {
        Response response(http::status::service_unavailable, httpVersion);
        response.set("X-Not-Executed", "1");
        for (const auto& [name, value] : statements)
            response.set(name, value);
        if (health)
            response.set("X-Instance-Id", m_id);
        else
            response.set("X-Attempt-Id", request["X-Attempt-Id"]);
        if (onRejected)
            onRejected(*this);
        co_await connection->answer(response);
        co_return;
    }
    ++waiting;
    while (running >= m_spec.slots && m_up && m_incarnation == incarnation)
        co_await sleepFor(milliseconds(1));
    if (!m_up || m_incarnation != incarnation)
        co_return connection->reset();
    --waiting;
    ++running;
    try {
        if (health) {
            co_await sleepFor(milliseconds(1));
            Response response(http::status::ok, httpVersion);
            response.set("X-Instance-Id", m_id);
            for (const auto& [name, value] : statements)
                response.set(name, value);
            if (m_incarnation == incarnation && m_up)
                co_await connection->answer(response);
        } else {
            co_await run(*this, connection, request);
        }
    } catch (const std::exception&) {
        connection->reset();
    }
    if (m_up && m_incarnation == incarnation)
        --running;
}

Machine::Machine(std::string machineName, std::string zoneName, std::string regionName, std::string address)
    : name(std::move(machineName))
    , zone(std::move(zoneName))
    , region(std::move(regionName))
    , ip(std::move(address))
{
}

Machine::~Machine()
{
    kill();
}

void Machine::start(const std::string& settings, const std::string& folder)
{
    const auto run = folder + "/" + name + "-" + std::to_string(++m_starts);
    std::ofstream(run + ".yaml") << settings;
    posix_spawn_file_actions_t actions {};
    posix_spawn_file_actions_init(&actions);
    constexpr int mode = 0600;
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, mode);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, (run + ".out").c_str(), O_WRONLY | O_CREAT | O_TRUNC, mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The listeners of the stand-ins stay with this process.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string command(program);
    std::string variable = "YUCCASHIFT_NODE_FILE=" + run + ".yaml";
    std::array<char*, 2> arguments { command.data(), nullptr };
    std::array<char*, 2> environment { variable.data(), nullptr };
    const auto failed = ::posix_spawn(&m_pid, program, &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        m_pid = -1;
        throw std::runtime_error(std::string("cannot start ") + program);
    }
}

void Machine::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void Machine::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

bool Machine::running()
{
    if (m_pid <= 0)
        return false;
    if (::waitpid(m_pid, nullptr, WNOHANG) == 0)
        return true;
    m_pid = -1;
    return false;
}

Lab::Lab(const std::string& recordFile, std::map<std::string, std::string> zones)
    : record(recordFile)
    , m_zones(std::move(zones))
    , m_ports(freePorts(portCount))
    , m_network(static_cast<unsigned>(::getpid()) % 250 + 1)
{
    auto pattern = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    m_folder = pattern;
    store = std::make_unique<Store>(io, tcp::endpoint(asio::ip::make_address(nextIp()), 0));
}

Lab::~Lab()
{
    machines.clear();
    error_code ignored;
    std::error_code ec;
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder, ec);
    else
        std::cout << m_folder << "\n";
}

std::string Lab::nextIp()
{
    return "127." + std::to_string(m_network) + ".7." + std::to_string(++m_addresses);
}

Worker& Lab::addWorker(const WorkerSpec& spec)
{
    workers.push_back(std::make_unique<Worker>(*this, spec, tcp::endpoint(asio::ip::make_address(nextIp()), 0)));
    return *workers.back();
}

Machine& Lab::addMachine(const std::string& zone)
{
    machines.push_back(std::make_unique<Machine>("front-" + zone + "-" + std::to_string(machines.size() + 1), zone, regionOf(zone), nextIp()));
    return *machines.back();
}

void Lab::publishConfig(std::int64_t version, const std::vector<RouteSpec>& routes)
{
    json::array list;
    std::map<std::string, json::object> services;
    for (const auto& route : routes) {
        json::array homes;
        for (const auto& it : route.homes)
            homes.emplace_back(it);
        list.push_back({ { "name", "r" + route.prefix }, { "host", "a.example" }, { "pathPrefix", route.prefix }, { "kind", route.kind }, { "timeoutMs", route.timeoutMs }, { "targetLatencyMs", route.targetMs }, { "priority", 1 }, { "service", route.service }, { "maxAttempts", route.maxAttempts }, { "resumable", route.resumable }, { "homeRegions", homes } });
        services[route.service] = { { "name", route.service }, { "healthPath", "/health" }, { "maxConnections", 360 }, { "protocol", "h1" }, { "tls", false }, { "coldS", 0.0 }, { "coldPerS", 0.0 } };
    }
    json::array serviceList;
    for (const auto& [name, it] : services)
        serviceList.push_back(it);
    const json::object config { { "version", version }, { "routes", list }, { "services", serviceList }, { "limits", { { "headerBytes", 16384 }, { "bodyBytes", 4194304 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } } };
    store->put("op/config", json::serialize(config));
    record.note("configuration " + std::to_string(version) + " written");
}

std::string Lab::settingsOf(const Machine& machine, bool firstStart) const
{
    const auto at = [&](const std::string& ip, std::size_t n) { return "\"" + ip + ":" + std::to_string(m_ports[n]) + "\""; };
    const auto& ip = machine.ip;
    std::ostringstream out;
    out << "node: \"" << machine.name << "\"\nrole: \"entry\"\nmachineClass: \"front\"\nserves: [\"front\", \"control\", \"directory\"]\nip: \"" << ip << "\"\nzone: \"" << machine.zone << "\"\nregion: \"" << machine.region << "\"\nzones:\n";
    for (const auto& [zone, region] : m_zones)
        out << "  " << zone << ": \"" << region << "\"\n";
    out << "listen:\n  front: " << at(ip, 0) << "\n  ready: " << at(ip, 1) << "\n  directory: " << at(ip, 2) << "\n  control: " << at(ip, 3) << "\ninternalPorts: [" << m_ports[4] << ", " << m_ports[4] << "]\nseeds:\n";
    for (std::size_t n = 0; n < std::min<std::size_t>(machines.size(), 3); ++n)
        out << "  - " << at(machines[n]->ip, 3) << "\n";
    out << "bootstrap: " << (firstStart ? "true" : "false") << "\ninLossBudget: false\nlimits: {cpuShare: 0.25, cores: 1, memoryMb: 260, fileDescriptors: 4100, linkMbps: 1000.0, diskMb: 0}\n"
        << "dataDir: null\ndiscovery: \"platform\"\nentry: \"directory\"\nheartbeatMs: 1200\n"
        << "contracts: [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\", \"places\", \"platform\"]\nfaultTolerance: {machines: 2, zones: 1, regions: 1}\n"
        << "bounds: {seedLagS: 3, reuseAfterS: 2, stabilityWindowMs: 5000, ackMs: 6000, syncS: 4, drainMs: 3000, graceS: 8, lossSlackMs: 200, configMs: 3000, rollbackSlackMs: 250, outerMs: 8000, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 54, coldOverage: 1.5, coldSlack: 3, evacuationMs: 5000, recoveryS: 12, passMs: 600, reuseWindowS: 10, ttl_max_s: 5}\n"
        << "platform: {address: \"" << store->endpoint().address().to_string() << ":" << store->endpoint().port() << "\", form: \"read\", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}\n";
    return out.str();
}

void Lab::startMachine(Machine& machine, bool firstStart)
{
    machine.start(settingsOf(machine, firstStart), m_folder);
    record.note("machine " + machine.name + " starts");
}

tcp::endpoint Lab::front(const Machine& machine) const
{
    return { asio::ip::make_address(machine.ip), m_ports[0] };
}

tcp::endpoint Lab::directory(const Machine& machine) const
{
    return { asio::ip::make_address(machine.ip), m_ports[2] };
}

awaitable<bool> Lab::ready(const Machine& machine)
{
    Request request(http::verb::get, "/yuccashift/readiness", httpVersion);
    request.set(http::field::host, machine.ip);
    const auto reply = co_await call({ asio::ip::make_address(machine.ip), m_ports[1] }, request, milliseconds(1000));
    co_return reply.status == 200;
}

awaitable<double> Lab::metric(const Machine& machine, const std::string& series)
{
    Request request(http::verb::get, "/metrics", httpVersion);
    request.set(http::field::host, machine.ip);
    const auto reply = co_await call({ asio::ip::make_address(machine.ip), m_ports[3] }, request, milliseconds(1000));
    std::istringstream lines(reply.body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(series + " "))
            co_return std::stod(line.substr(series.size() + 1));
    }
    co_return -1;
}

awaitable<bool> Lab::settle()
{
    const auto deadline = now() + std::chrono::seconds(20);
    for (const auto& it : machines) {
        bool isReady = false;
        while (!isReady && now() < deadline) {
            isReady = co_await ready(*it);
            if (!isReady)
                co_await sleepFor(milliseconds(50));
        }
        if (!isReady)
            co_return false;
    }
    co_await sleepFor(milliseconds(6000));
    co_return true;
}

int Lab::play(const std::function<awaitable<int>()>& script, milliseconds limit)
{
    int result = exitNotRun;
    asio::co_spawn(io, script, [&](const std::exception_ptr& error, int code) {
        try {
            if (error)
                std::rethrow_exception(error);
            result = code;
        } catch (const std::exception& e) {
            record.note(std::string("the case could not run: ") + e.what());
        }
        io.stop();
    });
    asio::steady_timer timer(io, limit);
    timer.async_wait([&](const error_code& ec) {
        if (ec)
            return;
        record.note("the case took too long");
        io.stop();
    });
    io.run();
    record.note(result == exitHeld ? "held" : result == exitBroken ? "BROKEN"
                                                                   : "could not run");
    return result;
}

} // namespace review
