#include "benchmarks/speed/load_driver.hpp"
#include "benchmarks/support/process_usage.hpp"
#include "platform/standins/entry_fleet.hpp"
#include "tests/support/wait.hpp"

#include <iomanip>
#include <iostream>
#include <stdexcept>

namespace {

using namespace yuccashift;
using namespace yuccashift::speed;

constexpr const char* eventsPerStream = "200";
const std::vector<std::string> regions { "sofia", "varna" };

/** One instance in each of two regions, with a plain service and an engine each. */
class Setup {
public:
    Setup()
    {
        for (const auto& region : regions) {
            publish("ledger", region, { "--work-ms", "0" });
            // The pause makes the instance forward each event separately instead of several together.
            publish("draft", region, { "--work-ms", "0", "--event-ms", "1", "--events", eventsPerStream });
        }
        m_fleet.publishConfig(1, {
                                     { "/here/", "idempotent", "ledger", {}, false, 1 },
                                     { "/there/", "idempotent", "ledger", { "varna" }, false, 1 },
                                     { "/stream/here/", "streaming", "draft", {}, false, 1 },
                                     { "/stream/there/", "streaming", "draft", { "varna" }, false, 1 },
                                 });
        for (const auto& region : regions) {
            m_fleet.startEntry(region, region);
            if (!m_fleet.waitReady(region))
                throw std::runtime_error("an instance did not become ready");
        }
        if (!test::waitUntil([&] { return m_fleet.call("sofia", "first", "GET", "/there/x").ok(); }))
            throw std::runtime_error("the regions cannot reach each other");
    }

    Endpoint entry() const { return m_fleet.callers("sofia"); }
    Endpoint worker(const std::string& id) const { return m_fleet.worker(id); }
    /** Returns the processor time processorMicroseconds by both instances, in microseconds. */
    double processorMicroseconds()
    {
        double sum = 0;
        for (const auto& region : regions)
            sum += usageOf(m_fleet.entry(region).pid()).microseconds;
        return sum;
    }

private:
    void publish(const std::string& service, const std::string& region, const std::vector<std::string>& arguments)
    {
        const auto id = service + "-" + region;
        m_fleet.publish({ id, service, "hall-" + region, m_fleet.startWorker(id, region, arguments) });
    }

    test::EntryFleet m_fleet { "entry-speed" };
};

/** Results of the same load sent directly, through one instance and through a hop to another region, with the processor time of the instances for the last two. */
struct PathResults {
    LoadResult direct;
    LoadResult through;
    LoadResult hop;
    double throughMicroseconds = 0;
    double hopMicroseconds = 0;
};

LoadResult checked(const LoadSpec& spec)
{
    auto result = runLoad(spec);
    if (result.requests == 0 || result.failures > 0)
        throw std::runtime_error(spec.path + ": " + std::to_string(result.failures) + " of " + std::to_string(result.requests) + " requests failed, the last with " + result.lastFailure);
    return result;
}

PathResults measure(Setup& setup, LoadSpec spec, const std::string& worker, const std::string& here, const std::string& there)
{
    spec.headers = test::callerHeaders("speed", std::chrono::seconds(5));
    spec.eventMark = "data: ";
    PathResults results;
    spec.path = here;
    spec.target = setup.worker(worker);
    results.direct = checked(spec);
    spec.target = setup.entry();
    auto before = setup.processorMicroseconds();
    results.through = checked(spec);
    results.throughMicroseconds = setup.processorMicroseconds() - before;
    spec.path = there;
    before = setup.processorMicroseconds();
    results.hop = checked(spec);
    results.hopMicroseconds = setup.processorMicroseconds() - before;
    return results;
}

void printRow(const std::string& what, double direct, double through, double hop, const char* unit)
{
    std::cout << "| " << what << " | " << std::setprecision(3) << direct << " | " << through << " | " << hop << " | " << unit << " | " << through / direct << " | " << hop / through << " |\n";
}

void measureCalls(Setup& setup)
{
    constexpr double medianShare = 0.5;
    LoadSpec one;
    const auto calls = measure(setup, one, "ledger-sofia", "/here/x", "/there/x");
    printRow("call, p50", quantile(calls.direct.latencies, medianShare), quantile(calls.through.latencies, medianShare), quantile(calls.hop.latencies, medianShare), "us");
    LoadSpec many;
    many.connections = 16;
    const auto busy = measure(setup, many, "ledger-sofia", "/here/x", "/there/x");
    printRow("calls, 16 connections", busy.direct.requestsPerSecond(), busy.through.requestsPerSecond(), busy.hop.requestsPerSecond(), "requests/s");
    const auto perCall = busy.throughMicroseconds / static_cast<double>(busy.through.requests);
    const auto perHop = busy.hopMicroseconds / static_cast<double>(busy.hop.requests);
    std::cout << "| processor for a call | | " << perCall << " | " << perHop << " | us | | " << perHop / perCall << " |\n";
}

void measureStreams(Setup& setup)
{
    LoadSpec streams;
    streams.method = "POST";
    streams.body = "prompt";
    // The number of requests sent to another region is limited by the engine's slots.
    streams.connections = 4;
    const auto events = measure(setup, streams, "draft-sofia", "/stream/here/x", "/stream/there/x");
    printRow("events, 4 connections", events.direct.tokensPerSecond(), events.through.tokensPerSecond(), events.hop.tokensPerSecond(), "events/s");
    const auto perEvent = events.throughMicroseconds / static_cast<double>(events.through.tokens);
    const auto perHop = events.hopMicroseconds / static_cast<double>(events.hop.tokens);
    std::cout << "| processor for an event | | " << perEvent << " | " << perHop << " | us | | " << perHop / perEvent << " |\n";
}

} // namespace

int main()
{
    try {
        Setup setup;
        std::cout << "| load | direct | through an instance | and a hop to another region | unit | through / direct | hop / through |\n|---|---|---|---|---|---|---|\n";
        measureCalls(setup);
        measureStreams(setup);
    } catch (const std::exception& fault) {
        std::cerr << "entry_speed: " << fault.what() << "\n";
        return 1;
    }
    return 0;
}
