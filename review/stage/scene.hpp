#pragma once

#include "review/stage/entry.hpp"
#include "review/stage/store.hpp"

#include <fstream>
#include <initializer_list>

namespace stage {

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

/** Writes what was sent, answered and run, with the time since the start. */
class Record {
public:
    explicit Record(const std::string& file);
    /** Writes the words with spaces between them. */
    void write(std::initializer_list<std::string_view> words);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    Clock::time_point m_startedAt = Clock::now();
};

/** How a worker answers one request or one health question. */
struct Reply {
    int status = 200;
    Headers headers;
    std::string body;
};

/** The body that a worker sends for an attempt, so that a client can tell whose it is and whether it is whole. */
std::string bodyOf(const std::string& worker, const std::string& attempt, std::size_t size);

/** A worker: answers each request with a body that names it, and keeps how often each attempt has run. */
class Worker {
public:
    /** Sends the text of a complete answer; returns false if the connection is to be closed. */
    using Send = std::function<bool(Connection&, const Message& request, const std::string& answer)>;

    Worker(std::string id, const std::string& ip, std::uint16_t port, Record& record);

    const std::string& id() const { return m_id; }
    std::uint16_t port() const { return m_server.port(); }
    void setWorkTime(std::chrono::milliseconds time) { m_workTime = time; }
    /** Sets the size of the bodies of answers by the request's target; 800 bytes otherwise. */
    void setBodySize(std::function<std::size_t(const std::string& target)> size) { m_bodySize = std::move(size); }
    /** Replaces the plain sending of answers; to be called before the first request. */
    void setSend(Send send) { m_send = std::move(send); }
    /** Lets the worker crash when it begins to run such a request. */
    void setDeadly(std::function<bool(const Message&)> isDeadly) { m_isDeadly = std::move(isDeadly); }
    /** Type of the answers' bodies. */
    void setContentType(std::string type) { m_contentType = std::move(type); }
    /** Ends as a crashed process does. */
    void stop() { m_server.stop(); }
    bool crashed() const { return m_crashed; }
    std::size_t runs();

private:
    void serve(Connection& connection);
    std::optional<Reply> replyTo(const Message& request);

    std::string m_id;
    Record& m_record;
    std::chrono::milliseconds m_workTime { 5 };
    std::function<std::size_t(const std::string& target)> m_bodySize;
    Send m_send;
    std::function<bool(const Message&)> m_isDeadly;
    std::string m_contentType = "text/plain";
    std::atomic<bool> m_crashed = false;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    Server m_server;
};

/** What a client saw of one request. */
struct Outcome {
    std::string attempt;
    std::optional<Message> answer;
    /** Whether the connection ended without a complete answer. */
    bool cut = false;

    /** The status, or `nothing` if no answer arrived. */
    std::string status() const { return answer ? std::to_string(answer->status) : "nothing"; }
    bool success() const { return answer && answer->status >= 200 && answer->status < 300; }
};

/** A client with one kept connection to one machine at a time. */
class Client {
public:
    Client(std::string ip, std::uint16_t port, std::string host, Record& record);

    /** Sends a request and waits for its answer; opens a connection if there is none. */
    Outcome send(const std::string& method, const std::string& target, const std::string& attempt, std::chrono::milliseconds deadline, const Headers& headers = {});

private:
    std::string m_ip;
    std::uint16_t m_port;
    std::string m_host;
    Record& m_record;
    std::unique_ptr<Connection> m_connection;
};

/** Why a success breaks the rule MIXED; empty if it is the whole answer of a worker to this attempt. */
std::string whyMixed(const Outcome& outcome);

/** An entry of a worker in the store. Further fields begin with a comma. */
std::string workerEntry(const std::string& service, const std::string& address, const std::string& zone, unsigned slots, const std::string& furtherFields = {}, const std::string& version = "v1");

/** Arguments of every case: the program of the deploy file, a temporary folder, the file for the record, and whether there is trouble. */
struct Arguments {
    std::string program;
    std::string folder;
    std::string record;
    bool trouble = true;
};

Arguments parseArguments(int argc, char** argv);
/** A zone with some machines. */
struct Place {
    std::string zone;
    std::string region;
    std::size_t machines = 0;
};

/** The platform's store and the processes of the system, on loopback addresses of their own. */
class Town {
public:
    /** @param number tells the addresses of one case from those of others */
    Town(const Arguments& arguments, unsigned number, const std::vector<Place>& places);
    ~Town();
    Town(const Town&) = delete;
    Town& operator=(const Town&) = delete;

    Store& store() { return m_store; }
    const Deployment& deployment() const { return m_deployment; }
    std::string workerIp(std::size_t number) const;
    /** Starts all processes; returns whether all became ready. */
    bool start();
    /** Whether none of the processes has ended by itself. */
    bool allRun();

private:
    std::string m_network;
    Store m_store;
    Deployment m_deployment;
    std::vector<std::unique_ptr<Entry>> m_entries;
};

/** Workers of one service. One that crashes is back after some seconds as a new one, with a new id at another address. */
class Crew {
public:
    using Prepare = std::function<void(Worker&)>;

    /** @param prepare is called with each new worker before it is in the store */
    Crew(Town& town, Record& record, std::size_t count, std::string service, unsigned slots, std::string furtherFields, Prepare prepare);

    /** Notices crashes, and lets what follows from them happen in time; to be called often. */
    void tick();
    const std::vector<Clock::time_point>& crashes() const { return m_crashes; }
    /** Crashes later than the time after the crash with that number, counted from 1. */
    std::size_t crashesLaterThan(std::chrono::seconds time, std::size_t crash) const;

private:
    void start();

    Town& m_town;
    Record& m_record;
    std::string m_service;
    unsigned m_slots;
    std::string m_furtherFields;
    Prepare m_prepare;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::map<std::size_t, Clock::time_point> m_crashedAt;
    std::set<std::size_t> m_listed;
    std::set<std::size_t> m_replaced;
    std::vector<Clock::time_point> m_crashes;
};

/** Runs a case; returns its exit status, also if it throws. */
int runCase(int argc, char** argv, const std::function<int(const Arguments&, Record&)>& body);

} // namespace stage
