#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

/** Stand-ins for the cases of the second review: clients, workers, the platform's store, and the platform that runs the processes. */
namespace review {

using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using std::chrono::milliseconds;

void sleepFor(milliseconds);
std::int64_t sinceMs(Instant);

/** What was sent, answered and run, with times since the start of the case. */
class Record {
public:
    explicit Record(const std::string& file);
    ~Record();
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;

    void line(const std::string& text);

private:
    const Instant m_startedAt = Clock::now();
    std::mutex m_mutex;
    int m_file = -1;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

/** A request or an answer. */
struct Message {
    /** Method and target of a request. */
    std::string method;
    std::string target;
    /** Status of an answer; 0 if none arrived. */
    int status = 0;
    Fields fields;
    std::string body;
    /** Whether the whole answer arrived. */
    bool complete = false;

    std::string field(std::string_view name) const;
    std::string path() const { return target.substr(0, target.find('?')); }
    /** Value of a parameter of the query, without its percent encoding. */
    std::string query(std::string_view name) const;
};

/** One TCP connection with blocking calls. */
class Connection {
public:
    explicit Connection(int socket)
        : m_socket(socket)
    {
    }
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /** Connects within the given time; nullptr if that fails. */
    static std::unique_ptr<Connection> open(const std::string& ip, std::uint16_t port, milliseconds limit);

    bool send(std::string_view bytes);
    /** Reads the next request; std::nullopt if the connection ends before it. */
    std::optional<Message> readRequest(Instant deadline);
    /** Reads the next answer. Its status is 0 if none arrives, and it is not complete if it breaks off. */
    Message readAnswer(Instant deadline);
    /** Closes with a reset. */
    void reset();
    /** Ends both directions. */
    void shutDown() const;
    bool closed() const { return m_closed; }
    int socket() const { return m_socket; }
    /** Whether the other end has closed the connection. */
    bool peerClosed() const;

private:
    bool readMore(Instant deadline);
    std::optional<std::string> readLine(Instant deadline);
    bool readHead(Message&, Instant deadline);
    bool readCount(std::string& out, std::size_t count, Instant deadline);
    bool readChunks(std::string& out, Instant deadline);

    int m_socket;
    bool m_closed = false;
    std::string m_input;
};

std::string answerText(int status, const Fields& fields, std::string_view body);

/** A listener with one thread for each connection. */
class HttpServer {
public:
    using Handler = std::function<void(Connection&, const Message&)>;

    HttpServer(std::string ip, std::uint16_t port, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    const std::string& ip() const { return m_ip; }
    std::uint16_t port() const { return m_port; }
    std::string address() const { return m_ip + ":" + std::to_string(m_port); }
    /** Closes the listener and all connections, like the end of a process; with a reset if unread bytes are left. */
    void stop();
    /** Listens again at the same address. */
    void start();
    bool stopping() const { return m_stopping; }

private:
    void accept(int listener);
    void serve(int socket);

    const std::string m_ip;
    std::uint16_t m_port;
    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    /** Sockets that are served, each by a thread of its own. */
    std::set<int> m_sockets;
    std::thread m_acceptor;
};

/** The platform's store. */
class Store {
public:
    Store(const std::string& ip, std::uint16_t port);

    std::string address() const { return m_server.address(); }
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);

    struct Item {
        std::string value;
        std::int64_t revision = 0;
    };
    struct Copy {
        std::map<std::string, Item> items;
        std::int64_t revision = 0;
    };
    Copy copy();
    /** A drill: the store is away for a moment and comes back from a copy, in a new era. */
    void drill(const Copy&, milliseconds away);
    /** Cuts all watches that are waiting. */
    void cutWatches();

private:
    struct Event {
        std::string key;
        std::optional<std::string> value;
        std::int64_t revision = 0;
    };
    void handle(Connection&, const Message&);
    std::string range(const Message&) const;
    /** The answer to a watch; std::nullopt if it is cut. */
    std::optional<std::string> watch(const Message&, int& status, std::unique_lock<std::mutex>&);
    void write(const std::string& key, std::optional<std::string> value);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_history;
    std::int64_t m_revision = 1;
    /** The oldest revision from which a watch may continue. */
    std::int64_t m_historyFrom = 1;
    std::int64_t m_era = 1;
    bool m_away = false;
    /** How often the waiting watches have been cut. */
    int m_cuts = 0;
    HttpServer m_server;
};

/** Where a process of the system runs. */
struct Machine {
    std::string name;
    std::string ip;
    std::string zone;
    std::string region;
};

/** Ports that are the same on all machines. */
struct Ports {
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t directory = 0;
    std::uint16_t control = 0;
    std::uint16_t internal = 0;
};

/** A process of the system on a machine of its own. */
class Entry {
public:
    Entry(Machine, Ports, std::string folder);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    const Machine& machine() const { return m_machine; }
    const Ports& ports() const { return m_ports; }
    /** Starts the program with the command of the deploy file. */
    bool start(const std::string& settings);
    void signal(int number) const;
    bool runs();
    bool waitReady(milliseconds limit);
    /** Resident memory in bytes; 0 if the process has ended. */
    std::size_t memoryBytes() const;
    /** Processor time that the process has used. */
    milliseconds processorTime() const;
    std::string metrics() const;

private:
    Machine m_machine;
    Ports m_ports;
    std::string m_folder;
    int m_starts = 0;
    pid_t m_pid = -1;
};

/** The platform of one case: addresses on loopback, a temporary folder, a store, and machines. */
class Deployment {
public:
    Deployment();
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    Store& store() { return *m_store; }
    /** A loopback address that no other part of this deployment uses. */
    std::string newAddress();
    /** Adds a machine; to be called before any is started. */
    Entry& add(const std::string& name, const std::string& zone, const std::string& region);
    /** Starts all machines within 0.3 s and waits until they are ready and hear each other. */
    bool startAll();
    bool restart(Entry&);
    const std::vector<std::unique_ptr<Entry>>& machines() const { return m_machines; }

private:
    std::string settingsFor(const Entry&) const;

    std::string m_folder;
    std::string m_network;
    int m_addresses = 0;
    Ports m_ports;
    std::unique_ptr<Store> m_store;
    std::map<std::string, std::string> m_zones;
    std::vector<std::unique_ptr<Entry>> m_machines;
};

std::uint16_t freePort(const std::string& ip);
/** Whether the case runs with its disruption. */
bool withTrouble();

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

} // namespace review
