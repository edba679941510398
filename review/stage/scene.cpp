#include "review/stage/scene.hpp"

#include <algorithm>
#include <exception>
#include <iostream>
#include <stdexcept>
#include <unistd.h>

namespace stage {

namespace {

    constexpr std::size_t usualBodyBytes = 800;
    constexpr std::string_view eventStream = "text/event-stream";

    std::string sealOf(const std::string& worker, const std::string& attempt)
    {
        return worker + "." + attempt;
    }

    std::string seconds(Clock::duration time)
    {
        return std::to_string(std::chrono::duration<double>(time).count());
    }

} // namespace

Record::Record(const std::string& file)
    : m_out(file)
{
}

void Record::write(std::initializer_list<std::string_view> words)
{
    const std::lock_guard lock(m_mutex);
    m_out << seconds(Clock::now() - m_startedAt);
    for (const auto word : words)
        m_out << " " << word;
    m_out << "\n"
          << std::flush;
}

std::string bodyOf(const std::string& worker, const std::string& attempt, std::size_t size)
{
    auto body = "answer of " + worker + " to " + attempt + ".";
    body.resize(std::max(size, body.size() + 1), '.');
    body.back() = '!';
    return body;
}

Worker::Worker(std::string id, const std::string& ip, std::uint16_t port, Record& record)
    : m_id(std::move(id))
    , m_record(record)
    , m_send([](Connection& connection, const Message&, const std::string& answer) { return connection.send(answer); })
    , m_server(ip, port, [this](Connection& connection) { serve(connection); })
{
}

std::size_t Worker::runs()
{
    const std::lock_guard lock(m_mutex);
    std::size_t sum = 0;
    for (const auto& [attempt, count] : m_runs)
        sum += static_cast<std::size_t>(count);
    return sum;
}

std::optional<Reply> Worker::replyTo(const Message& request)
{
    const auto attempt = request.header("X-Attempt-Id");
    const auto target = request.header("X-Target-Instance");
    if (request.target == "/health")
        return Reply { 200, { { "X-Instance-Id", m_id } }, "{}" };
    if (!target.empty() && target != m_id)
        return Reply { 421, { { "X-Attempt-Id", attempt }, { "X-Not-Executed", "1" } }, "{}" };
    if (attempt.empty())
        return Reply { 400, { { "X-Not-Executed", "1" } }, "{}" };
    {
        const std::lock_guard lock(m_mutex);
        ++m_runs[attempt];
    }
    m_record.write({ "run", attempt, "at", m_id, request.method, request.target });
    if (m_isDeadly && m_isDeadly(request)) {
        m_record.write({ "crash of", m_id, "by", attempt });
        m_crashed = true;
        return {};
    }
    std::this_thread::sleep_for(m_workTime);
    auto body = bodyOf(m_id, attempt, m_bodySize ? m_bodySize(request.target) : usualBodyBytes);
    if (m_contentType == eventStream)
        body = "id: 1\ndata: " + body + "\n\n";
    return Reply { 200, { { "Content-Type", m_contentType }, { "X-Attempt-Id", attempt }, { "X-Server-Seal", sealOf(m_id, attempt) } }, body };
}

void Worker::serve(Connection& connection)
{
    while (const auto request = connection.readRequest()) {
        const auto reply = replyTo(*request);
        if (!reply)
            return m_server.cut();
        if (!m_send(connection, *request, answerText(reply->status, reply->headers, reply->body)))
            return;
    }
}

Client::Client(std::string ip, std::uint16_t port, std::string host, Record& record)
    : m_ip(std::move(ip))
    , m_port(port)
    , m_host(std::move(host))
    , m_record(record)
{
}

Outcome Client::send(const std::string& method, const std::string& target, const std::string& attempt, std::chrono::milliseconds deadline, const Headers& headers)
{
    constexpr std::chrono::milliseconds connectLimit { 1000 };
    const auto until = Clock::now() + deadline;
    Outcome outcome;
    outcome.attempt = attempt;
    if (!m_connection)
        m_connection = Connection::open(m_ip, m_port, connectLimit);
    if (!m_connection)
        return outcome;
    auto text = method + " " + target + " HTTP/1.1\r\nHost: " + m_host + "\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n";
    for (const auto& [name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (method != "GET")
        text += "Content-Length: 0\r\n";
    m_record.write({ "sent", attempt, "to", m_ip, method, target });
    if (m_connection->send(text + "\r\n"))
        outcome.answer = m_connection->readAnswer(until);
    const bool complete = outcome.answer && outcome.answer->whole;
    outcome.cut = !complete && Clock::now() < until;
    if (!complete || outcome.answer->header("Connection") == "close")
        m_connection.reset();
    return outcome;
}

std::string whyMixed(const Outcome& outcome)
{
    if (!outcome.success() || !outcome.answer->whole)
        return {};
    const auto& answer = *outcome.answer;
    const auto seal = answer.header("X-Server-Seal");
    if (seal.empty())
        return "a success without a worker's seal";
    const auto dot = seal.find('.');
    const auto worker = seal.substr(0, dot);
    if (seal != sealOf(worker, outcome.attempt))
        return "a success with the seal of another request";
    if (answer.body != bodyOf(worker, outcome.attempt, answer.body.size()))
        return "a success with a body that is not the worker's";
    return {};
}

std::string workerEntry(const std::string& service, const std::string& address, const std::string& zone, unsigned slots, const std::string& furtherFields, const std::string& version)
{
    return R"({"service":")" + service + R"(","address":")" + address + R"(","zone":")" + zone + R"(","version":")" + version + R"(","slots":)" + std::to_string(slots) + R"(,"state":"ready","coldRemainingMs":0,"sequence":1)" + furtherFields + "}";
}

Arguments parseArguments(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.size() != 4)
        throw std::runtime_error("usage: CASE PROGRAM FOLDER RECORD TROUBLE");
    return { words[0], words[1], words[2], words[3] != "0" };
}

Town::Town(const Arguments& arguments, unsigned number, const std::vector<Place>& places)
    : m_network("127." + std::to_string(10 + getpid() % 200) + "." + std::to_string(number) + ".")
    , m_store(m_network + "200")
{
    m_deployment.storeAddress = m_network + "200:" + std::to_string(m_store.port());
    m_deployment.program = arguments.program;
    m_deployment.folder = arguments.folder;
    std::vector<std::string> ips;
    for (const auto& place : places) {
        m_deployment.zones[place.zone] = place.region;
        for (std::size_t n = 1; n <= place.machines; ++n) {
            ips.push_back(m_network + std::to_string(ips.size() + 1));
            m_deployment.machines.push_back({ "front-" + place.zone + "-" + std::to_string(n), ips.back(), place.zone, place.region });
        }
    }
    m_deployment.ports = freePorts(ips);
}

Town::~Town() = default;

std::string Town::workerIp(std::size_t number) const
{
    constexpr std::size_t first = 101;
    return m_network + std::to_string(first + number);
}

bool Town::start()
{
    for (const auto& machine : m_deployment.machines) {
        m_entries.push_back(std::make_unique<Entry>(m_deployment, machine));
        m_entries.back()->start();
    }
    constexpr std::chrono::seconds limit { 15 };
    return std::ranges::all_of(m_entries, [&](const auto& it) { return it->waitReady(limit); });
}

bool Town::allRun()
{
    return std::ranges::none_of(m_entries, [](const auto& it) { return it->ended(); });
}

Crew::Crew(Town& town, Record& record, std::size_t count, std::string service, unsigned slots, std::string furtherFields, Prepare prepare)
    : m_town(town)
    , m_record(record)
    , m_service(std::move(service))
    , m_slots(slots)
    , m_furtherFields(std::move(furtherFields))
    , m_prepare(std::move(prepare))
{
    for (std::size_t n = 0; n < count; ++n)
        start();
}

void Crew::start()
{
    // Addresses are used again later than the platform does.
    constexpr std::size_t addresses = 90;
    const auto number = m_workers.size();
    const auto ip = m_town.workerIp(number % addresses);
    m_workers.push_back(std::make_unique<Worker>("i-" + std::to_string(number + 1), ip, 0, m_record));
    auto& worker = *m_workers.back();
    m_prepare(worker);
    m_listed.insert(number);
    m_town.store().put("servers/" + worker.id(), workerEntry(m_service, ip + ":" + std::to_string(worker.port()), m_town.deployment().machines.front().zone, m_slots, m_furtherFields));
}

void Crew::tick()
{
    constexpr std::chrono::milliseconds returnTime { 2500 };
    // Three heartbeat intervals.
    constexpr std::chrono::milliseconds entryLifetime { 3600 };
    const auto now = Clock::now();
    for (std::size_t n = 0; n < m_workers.size(); ++n) {
        if (!m_workers[n]->crashed() || m_crashedAt.contains(n))
            continue;
        m_crashedAt[n] = now;
        m_crashes.push_back(now);
    }
    std::size_t due = 0;
    for (const auto& [n, at] : m_crashedAt) {
        if (now - at >= entryLifetime && m_listed.erase(n) > 0)
            m_town.store().remove("servers/" + m_workers[n]->id());
        due += now - at >= returnTime && m_replaced.insert(n).second ? 1 : 0;
    }
    for (; due > 0; --due)
        start();
}

std::size_t Crew::crashesLaterThan(std::chrono::seconds time, std::size_t crash) const
{
    if (m_crashes.size() < crash)
        return 0;
    return static_cast<std::size_t>(std::ranges::count_if(m_crashes, [&](auto at) { return at > m_crashes[crash - 1] + time; }));
}

int runCase(int argc, char** argv, const std::function<int(const Arguments&, Record&)>& body)
{
    try {
        const auto arguments = parseArguments(argc, argv);
        Record record(arguments.record);
        return body(arguments, record);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return exitNotRun;
    }
}

} // namespace stage
