#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <utility>
#include <vector>

/** Stand-ins for the users' platform, written for the third review: store, workers, clients, and real entry processes. */
namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;
using std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

SteadyTime now();
awaitable<void> sleepFor(milliseconds);
awaitable<void> sleepUntil(SteadyTime);
/** Whether the disruption of the case is played: false with TROUBLE=0. */
bool disrupted();

/** The file in the folder of the case that says what was sent, answered and run. */
class Record {
public:
    explicit Record(const std::string& file);
    /** Writes a line with the seconds since the start. */
    void note(const std::string& text);
    double seconds() const;

private:
    std::ofstream m_out;
    SteadyTime m_start;
};

/** One connection of a stand-in server. */
class Connection {
public:
    explicit Connection(tcp::socket socket);
    awaitable<void> answer(Response);
    awaitable<void> write(std::string bytes);
    /** Closes the connection with a reset. */
    void reset();
    /** Closes the connection in order. */
    void close();
    bool isOpen() const { return m_socket.is_open(); }
    /** Whether the peer has closed the connection. */
    bool peerHasClosed();
    tcp::socket& socket() { return m_socket; }

private:
    tcp::socket m_socket;
};

/** An HTTP server of a stand-in that can vanish and return at the same address. */
class Listener : public std::enable_shared_from_this<Listener> {
public:
    using Handler = std::function<awaitable<void>(std::shared_ptr<Connection>, Request)>;
    Listener(asio::io_context&, tcp::endpoint, Handler);
    void open();
    /** Closes the listener and resets all connections. */
    void shut();
    tcp::endpoint endpoint() const { return m_endpoint; }

private:
    static awaitable<void> accept(std::shared_ptr<Listener>);
    static awaitable<void> serve(std::shared_ptr<Listener>, std::shared_ptr<Connection>);

    asio::io_context& m_io;
    tcp::endpoint m_endpoint;
    Handler m_handler;
    std::optional<tcp::acceptor> m_acceptor;
    std::set<std::shared_ptr<Connection>> m_connections;
};

/** Reply to a client; `complete` if the whole answer arrived by its framing. */
struct Reply {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    bool complete = false;
    std::string header(const std::string& lowerCaseName) const;
};

/** Sends one request on a new connection. */
awaitable<Reply> call(tcp::endpoint, Request, milliseconds timeout);
/** A request of a client, with the usual headers. */
Request clientRequest(http::verb, const std::string& path, const std::string& attempt, milliseconds deadline, std::string body = {});

/** A connection of a client that sees the bytes as they come. */
class RawClient {
public:
    explicit RawClient(asio::io_context&);
    /** Connects; returns false if that fails. */
    awaitable<bool> connect(tcp::endpoint);
    awaitable<bool> send(std::string bytes);
    /** Reads what comes until the connection ends, or until `enough` says so or the time is over. */
    awaitable<std::string> read(milliseconds timeout, std::function<bool(const std::string&)> enough = {});

private:
    tcp::socket m_socket;
};

/** The platform's store. */
class Store {
public:
    Store(asio::io_context&, tcp::endpoint);
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /** While it is down, the store resets all connections and accepts none. */
    void setDown(bool down);
    tcp::endpoint endpoint() const { return m_listener->endpoint(); }

private:
    struct Change {
        std::string key;
        std::optional<std::string> value;
        std::int64_t revision = 0;
    };
    awaitable<void> handle(std::shared_ptr<Connection>, Request);
    boost::json::object range(const std::string& prefix, const std::string& after) const;
    boost::json::object events(std::int64_t after) const;

    std::map<std::string, std::pair<std::string, std::int64_t>> m_items;
    std::deque<Change> m_history;
    std::int64_t m_revision = 1;
    std::shared_ptr<Listener> m_listener;
};

class Lab;

struct WorkerSpec {
    std::string name;
    std::string service;
    std::string zone;
    std::string version = "v1";
    unsigned slots = 6;
    /** Requests that wait beyond the slots. */
    unsigned queue = 24;
    milliseconds work { 60 };
    bool engine = false;
};

/** A worker; each start of it is a new incarnation with a new id. */
class Worker {
public:
    using Run = std::function<awaitable<void>(Worker&, std::shared_ptr<Connection>, const Request&)>;

    Worker(Lab&, WorkerSpec, tcp::endpoint);
    void start();
    /** The process ends: all connections are reset and its address refuses. It is back after the time, with a new id. */
    void crash(milliseconds downFor);
    /** Writes the entry into the store. */
    void publish(const std::string& state = "ready");
    bool up() const { return m_up; }
    const std::string& id() const { return m_id; }
    const WorkerSpec& spec() const { return m_spec; }
    WorkerSpec& spec() { return m_spec; }
    unsigned incarnation() const { return m_incarnation; }
    /** The complete answer of a sound worker. */
    Response answerTo(const Request&) const;
    std::string sealOf(const std::string& attempt) const;
    /** Headers in all answers. */
    std::map<std::string, std::string> statements;
    /** What a run does; a sound worker works and answers. */
    Run run;
    /** Called for each request that is turned away for want of room, health checks too. */
    std::function<void(Worker&)> onRejected;
    /** Called when a request or health check arrives. */
    std::function<void(Worker&, const Request&)> onArrival;
    unsigned running = 0;
    unsigned waiting = 0;

private:
    awaitable<void> handle(std::shared_ptr<Connection>, Request);
    awaitable<void> comeBack(milliseconds downFor, std::string oldId);

    Lab& m_lab;
    WorkerSpec m_spec;
    std::shared_ptr<Listener> m_listener;
    std::string m_id;
    unsigned m_incarnation = 0;
    bool m_up = false;
};

struct RouteSpec {
    std::string prefix;
    std::string kind;
    std::string service;
    unsigned maxAttempts = 1;
    bool resumable = false;
    unsigned timeoutMs = 8000;
    std::vector<std::string> homes {};
    unsigned targetMs = 500;
};

/** A machine of the system with the real program. */
class Machine {
public:
    Machine(std::string name, std::string zone, std::string region, std::string ip);
    ~Machine();
    Machine(const Machine&) = delete;
    Machine& operator=(const Machine&) = delete;

    void start(const std::string& settings, const std::string& folder);
    void signal(int number) const;
    /** Ends the process with SIGKILL and waits for it. */
    void kill();
    bool running();

    const std::string name;
    const std::string zone;
    const std::string region;
    const std::string ip;

private:
    pid_t m_pid = -1;
    unsigned m_starts = 0;
};

/** A small deployment on loopback addresses. */
class Lab {
public:
    /** @param zones the zones of the deployment, each with its region */
    explicit Lab(const std::string& recordFile, std::map<std::string, std::string> zones = { { "ikeja-hall", "lagos" }, { "wuse-hall", "abuja" }, { "trans-amadi", "port-harcourt" } });
    ~Lab();
    Lab(const Lab&) = delete;
    Lab& operator=(const Lab&) = delete;

    Worker& addWorker(const WorkerSpec&);
    Machine& addMachine(const std::string& zone);
    void publishConfig(std::int64_t version, const std::vector<RouteSpec>&);
    void startMachine(Machine&, bool firstStart);
    tcp::endpoint front(const Machine&) const;
    tcp::endpoint directory(const Machine&) const;
    awaitable<bool> ready(const Machine&);
    /** Waits until all machines are ready and some more for their heartbeats; false if they are not in time. */
    awaitable<bool> settle();
    /** Value of a metric; -1 if it is not exported. */
    awaitable<double> metric(const Machine&, const std::string& series);
    /** Runs the case to its end, at most `limit`, and returns its exit code. */
    int play(const std::function<awaitable<int>()>& script, milliseconds limit);
    std::string regionOf(const std::string& zone) const { return m_zones.at(zone); }
    std::string nextIp();

    asio::io_context io { 1 };
    Record record;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Machine>> machines;
    std::unique_ptr<Store> store;

private:
    std::string settingsOf(const Machine&, bool firstStart) const;

    const std::map<std::string, std::string> m_zones;
    std::string m_folder;
    std::vector<std::uint16_t> m_ports;
    unsigned m_network;
    unsigned m_addresses = 0;
};

} // namespace review
