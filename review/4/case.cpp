// Many callers ask for the same thing, on a route that a later configuration added. One of four workers crashes while it is at
// a few of these requests. The system takes the request for the cause, and all machines refuse it for a minute.

#include "review/stage/scene.hpp"

#include <iostream>

namespace {

using namespace stage;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t workerCount = 4;
constexpr unsigned slots = 32;
constexpr std::size_t machineCount = 4;
constexpr std::size_t oldClientsOfMachine = 4;
constexpr std::size_t newClientsOfMachine = 20;
constexpr milliseconds workTime { 150 };
constexpr milliseconds downTime { 2500 };
/** Three heartbeat intervals. */
constexpr milliseconds entryLifetime { 3600 };
constexpr seconds stabilityWindow { 5 };
constexpr std::size_t minRequests = 20;
constexpr double minShare = 0.25;

constexpr std::string_view oldRoute = R"({"name":"read","host":"a.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":4000,"targetLatencyMs":500,"priority":2,"service":"ledger","maxAttempts":2})";
constexpr std::string_view newRoute = R"({"name":"rates","host":"a.example","pathPrefix":"/rates/","kind":"idempotent","timeoutMs":4000,"targetLatencyMs":500,"priority":2,"service":"ledger","maxAttempts":2})";
constexpr std::string_view restOfConfig = R"("services":[{"name":"ledger","healthPath":"/health","maxConnections":110,"coldS":0.0,"coldPerS":0}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

std::string configOf(int version, std::initializer_list<std::string_view> routes)
{
    std::string list;
    for (const auto route : routes)
        list.append(list.empty() ? "" : ",").append(route);
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + list + "]," + std::string(restOfConfig);
}

/** What became of the requests on one route. */
struct Counts {
    std::atomic<std::size_t> asked = 0;
    std::atomic<std::size_t> served = 0;

    double share() const { return static_cast<double>(served) / static_cast<double>(std::max<std::size_t>(1, asked)); }
    std::string text() const { return std::to_string(served) + " of " + std::to_string(asked); }
};

/** Clients that ask one machine until the end. Only what they ask while it counts is counted. */
class Callers {
public:
    explicit Callers(Record& record)
        : m_record(record)
    {
    }

    /** @param target what all of them ask for; each asks for another thing each time if it is empty */
    void start(const Machine& machine, std::uint16_t port, std::size_t count, const std::string& target, Counts& counts)
    {
        for (std::size_t n = 0; n < count; ++n)
            m_threads.emplace_back([this, &machine, port, target, name = machine.name + "-" + std::to_string(m_threads.size()), &counts] { run(machine, port, name, target, counts); });
    }

    void setCounting(bool on) { m_counting = on; }

    void stop()
    {
        m_stopped = true;
        for (auto& it : m_threads)
            it.join();
    }

private:
    void run(const Machine& machine, std::uint16_t port, const std::string& name, const std::string& target, Counts& counts)
    {
        constexpr milliseconds deadline { 8000 };
        constexpr milliseconds shortestPause { 20 };
        constexpr std::size_t spread = 61;
        Client client(machine.ip, port, "a.example", m_record);
        for (std::size_t n = 0; !m_stopped; ++n) {
            const bool counted = m_counting;
            const auto attempt = name + "-" + std::to_string(n);
            const auto path = target.empty() ? "/read/" + attempt : target;
            const auto outcome = client.send("GET", path, attempt, deadline);
            counts.asked += counted ? 1 : 0;
            counts.served += counted && outcome.success() ? 1 : 0;
            m_record.write({ "answered", attempt, path, outcome.status() });
            // A client that is refused comes back when it is told to.
            const std::chrono::duration<double> pause = shortestPause + milliseconds((std::hash<std::string>()(attempt)) % spread);
            const auto told = outcome.answer && !outcome.success() ? outcome.answer->header("Retry-After") : std::string();
            std::this_thread::sleep_for(told.empty() ? pause : std::chrono::duration<double>(std::stod(told)));
        }
    }

    Record& m_record;
    std::atomic<bool> m_counting = false;
    std::atomic<bool> m_stopped = false;
    std::vector<std::thread> m_threads;
};

int play(const Arguments& arguments, Record& record)
{
    Town town(arguments, 4, { { "sofia-hall", "sofia", machineCount } });
    const auto& deployment = town.deployment();
    auto& store = town.store();
    std::vector<std::unique_ptr<Worker>> workers;
    const auto startWorker = [&] {
        const auto ip = town.workerIp(workers.size());
        workers.push_back(std::make_unique<Worker>("i-" + std::to_string(workers.size() + 1), ip, 0, record));
        workers.back()->setWorkTime(workTime);
        store.put("servers/" + workers.back()->id(), workerEntry("ledger", ip + ":" + std::to_string(workers.back()->port()), "sofia-hall", slots));
    };
    store.put("op/config", configOf(7, { oldRoute }));
    for (std::size_t n = 0; n < workerCount; ++n)
        startWorker();
    if (!town.start())
        return exitNotRun;

    Callers callers(record);
    Counts oldCounts;
    Counts newCounts;
    for (const auto& it : deployment.machines)
        callers.start(it, deployment.ports.callers, oldClientsOfMachine, {}, oldCounts);
    std::this_thread::sleep_for(seconds(3));
    store.put("op/config", configOf(9, { oldRoute, newRoute }));
    record.write({ "the configuration has another route" });
    std::this_thread::sleep_for(seconds(4));
    for (const auto& it : deployment.machines)
        callers.start(it, deployment.ports.callers, newClientsOfMachine, "/rates/today", newCounts);
    std::this_thread::sleep_for(seconds(4));

    if (arguments.trouble) {
        record.write({ "a worker crashes" });
        workers.front()->stop();
        std::this_thread::sleep_for(downTime);
        startWorker();
        std::this_thread::sleep_for(entryLifetime - downTime);
        store.remove("servers/" + workers.front()->id());
        record.write({ "the worker is back, and the entry of its former start is gone" });
    }
    std::this_thread::sleep_for(2 * stabilityWindow);
    callers.setCounting(true);
    std::this_thread::sleep_for(seconds(30));
    callers.setCounting(false);
    callers.stop();
    const auto result = "in the 30 s that begin 10 s after the worker is back: " + oldCounts.text() + " requests on the first route served, " + newCounts.text() + " on the one added later";
    record.write({ result });
    std::cout << result << "\n";
    if (!town.allRun() || oldCounts.asked < minRequests || oldCounts.share() < minShare)
        return exitNotRun;
    return newCounts.asked >= minRequests && newCounts.share() < minShare * oldCounts.share() ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, play);
}
