// A client asks for a path that begins like the calls of the system's processes among each other. While the workers of its
// region are down, its request is passed on to another region, whose process answers it itself with the published items.

#include "review/stage/scene.hpp"

#include <algorithm>
#include <iostream>

namespace {

using namespace stage;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t machinesOfZone = 2;
constexpr std::size_t workersOfZone = 2;
constexpr std::size_t clientsOfMachine = 6;
constexpr std::size_t requestsPerProbe = 5;
constexpr milliseconds outage { 4500 };
/** Three heartbeat intervals. */
constexpr milliseconds entryLifetime { 3600 };

constexpr std::string_view config = R"({"version":7,"routes":[
{"name":"portal","host":"a.example","pathPrefix":"/","kind":"idempotent","timeoutMs":4000,"targetLatencyMs":500,"priority":2,"service":"portal","maxAttempts":2}],
"services":[{"name":"portal","healthPath":"/health","maxConnections":110,"coldS":0.0,"coldPerS":0}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

std::string visible(std::string text)
{
    std::ranges::replace_if(
        text, [](char c) { return c < ' ' || c > '~'; }, '?');
    return text;
}

struct Counts {
    std::atomic<std::size_t> asked = 0;
    std::atomic<std::size_t> served = 0;
    std::atomic<std::size_t> mixed = 0;
    std::atomic<bool> stopped = false;
};

void ask(const Machine& machine, std::uint16_t port, std::size_t number, Record& record, Counts& counts)
{
    constexpr milliseconds deadline { 8000 };
    constexpr milliseconds pause { 50 };
    constexpr std::size_t shownBytes = 500;
    Client client(machine.ip, port, "a.example", record);
    for (std::size_t n = 0; !counts.stopped; ++n) {
        const auto attempt = machine.name + "-" + std::to_string(number) + "-" + std::to_string(n);
        const auto target = n % requestsPerProbe == 0 ? std::string("/yuccashift-peer/snapshot?after=0") : "/records/" + std::to_string(n);
        const auto outcome = client.send("GET", target, attempt, deadline);
        ++counts.asked;
        const auto why = whyMixed(outcome);
        if (why.empty()) {
            counts.served += outcome.success() ? 1 : 0;
            record.write({ "answered", attempt, target, outcome.status() });
        } else {
            ++counts.mixed;
            record.write({ "MIXED", attempt, target, why, "- body:", visible(outcome.answer->body.substr(0, shownBytes)) });
        }
        std::this_thread::sleep_for(pause);
    }
}

int play(const Arguments& arguments, Record& record)
{
    Town town(arguments, 3, { { "sofia-hall", "sofia", machinesOfZone }, { "varna-hall", "varna", machinesOfZone } });
    const auto& deployment = town.deployment();
    auto& store = town.store();

    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::string> idsOfSofia;
    const auto startWorker = [&](const std::string& zone) {
        auto id = "i-" + std::to_string(workers.size() + 1);
        const auto ip = town.workerIp(workers.size());
        workers.push_back(std::make_unique<Worker>(id, ip, 0, record));
        store.put("servers/" + id, workerEntry("portal", ip + ":" + std::to_string(workers.back()->port()), zone, 16));
        return id;
    };
    store.put("op/config", std::string(config));
    for (std::size_t n = 0; n < workersOfZone; ++n)
        idsOfSofia.push_back(startWorker("sofia-hall"));
    for (std::size_t n = 0; n < workersOfZone; ++n)
        startWorker("varna-hall");

    if (!town.start())
        return exitNotRun;
    Counts counts;
    std::vector<std::thread> clients;
    for (const auto& machine : deployment.machines) {
        for (std::size_t n = 0; n < clientsOfMachine; ++n)
            clients.emplace_back([&, n] { ask(machine, deployment.ports.callers, n, record, counts); });
    }
    std::this_thread::sleep_for(seconds(6));
    if (arguments.trouble) {
        record.write({ "the workers of sofia-hall go down" });
        for (std::size_t n = 0; n < workersOfZone; ++n)
            workers[n]->stop();
        std::this_thread::sleep_for(entryLifetime);
        for (const auto& id : idsOfSofia)
            store.remove("servers/" + id);
        std::this_thread::sleep_for(outage - entryLifetime);
        for (std::size_t n = 0; n < workersOfZone; ++n)
            startWorker("sofia-hall");
        record.write({ "the workers of sofia-hall are back" });
    } else {
        std::this_thread::sleep_for(outage);
    }
    std::this_thread::sleep_for(seconds(5));
    counts.stopped = true;
    for (auto& it : clients)
        it.join();
    const auto result = std::to_string(counts.asked) + " requests, " + std::to_string(counts.served) + " served, " + std::to_string(counts.mixed) + " answered with what is no answer to them (MIXED)";
    record.write({ result });
    std::cout << result << "\n";
    if (!town.allRun() || counts.served < counts.asked / 2)
        return exitNotRun;
    return counts.mixed > 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, play);
}
