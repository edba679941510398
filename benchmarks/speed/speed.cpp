#include "benchmarks/speed/load_driver.hpp"
#include "benchmarks/support/process_usage.hpp"

#include "standins/common/answer_text.hpp"
#include "tests/support/process_fleet.hpp"

#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using namespace yuccashift;
using namespace yuccashift::speed;

constexpr const char* credential = "credential-of-the-speed-test";
constexpr const char* engineName = "engine";
constexpr const char* plainName = "plain";

/** One instance in front of one engine and one plain service. */
class Setup {
public:
    explicit Setup(double decodeRate)
        : m_fleet("speed")
    {
        m_fleet.startStandin(engineName, "engine", { "--model", "draft:1", "--slots", "2048", "--queue", "4096", "--decode", std::to_string(decodeRate), "--prefill", "10000000" });
        m_fleet.startStandin(plainName, "plain_service", { "--work-ms", "0", "--slots", "4096" });
        m_fleet.publishDocument("draft", document("draft", "kind: model\nmodels: [{name: draft, version: \"1\"}]\n", engineName, "chat, path: /v1/chat/completions"));
        m_fleet.publishDocument("ledger", document("ledger", "kind: plain\npath_prefix: /ledger\n", plainName, "all, method: \"*\", path: \"/*\""));
        m_fleet.startInstance({ "sofia-1", "sofia", "sofia-hall", "threads: 1\n" });
        if (!m_fleet.waitReady() || !m_fleet.waitForRevision("draft", 1) || !m_fleet.waitForRevision("ledger", 1))
            throw std::runtime_error("the instance did not become ready");
    }

    Endpoint entry() { return m_fleet.instance("sofia-1").callers; }
    Endpoint engine() const { return m_fleet.standin(engineName); }
    Endpoint plain() const { return m_fleet.standin(plainName); }
    pid_t pid() { return m_fleet.instance("sofia-1").process->pid(); }

private:
    std::string document(const std::string& service, const std::string& kind, const std::string& standin, const std::string& route) const
    {
        return "service: " + service + "\nowner: speed\nrevision: 1\n" + kind + "regions: [sofia]\n"
            + "backends: [{name: b, region: sofia, datacentre: sofia-hall, slots: 4096, address: \"" + toString(m_fleet.standin(standin)) + "\"}]\n"
            + "routes: [{name: " + route + ", deadline_ms: 600000}]\nqueue_limit: 10000\n"
            + "organisations: [{name: museum, credential_sha256: [\"" + standins::sha256Hex(credential) + "\"]}]\n";
    }

    test::ProcessFleet m_fleet;
};

LoadSpec plainLoad(const Endpoint& target, std::size_t connections)
{
    LoadSpec spec;
    spec.target = target;
    spec.path = "/ledger/balance/7";
    spec.headers = { { "Authorization", std::string("Bearer ") + credential } };
    spec.connections = connections;
    return spec;
}

LoadSpec chatLoad(const Endpoint& target, std::size_t connections, std::size_t tokens)
{
    LoadSpec spec = plainLoad(target, connections);
    spec.method = "POST";
    spec.path = "/v1/chat/completions";
    spec.headers.emplace_back("Content-Type", "application/json");
    spec.body = R"({"model":"draft","messages":[{"role":"user","content":"a schedule for staff cars, please"}],"stream":true,"max_tokens":)" + std::to_string(tokens) + "}";
    return spec;
}

void printRow(const std::string& what, double direct, double through, const char* unit)
{
    std::cout << "| " << what << " | " << std::setprecision(3) << direct << " | " << through << " | " << unit << " | " << through / direct << " |\n";
}

void checkLoad(const LoadResult& result, const char* what)
{
    if (result.requests == 0 || result.failures > 0)
        throw std::runtime_error(std::string(what) + ": " + std::to_string(result.failures) + " of " + std::to_string(result.requests) + " requests failed, the last with " + result.lastFailure);
}

/** Results of the same load sent directly to the stand-in and through the instance. */
struct LoadComparison {
    LoadResult direct;
    LoadResult through;
    /** Processor time of the instance during its load, in microseconds. */
    double instanceMicroseconds = 0;
};

LoadComparison compareLoads(Setup& setup, LoadSpec spec, const Endpoint& standin, const char* what)
{
    LoadComparison comparison;
    spec.target = standin;
    comparison.direct = runLoad(spec);
    checkLoad(comparison.direct, what);
    spec.target = setup.entry();
    const auto before = usageOf(setup.pid());
    comparison.through = runLoad(spec);
    comparison.instanceMicroseconds = usageOf(setup.pid()).microseconds - before.microseconds;
    checkLoad(comparison.through, what);
    return comparison;
}

void measureLatency(Setup& setup)
{
    constexpr double medianShare = 0.5;
    constexpr double p99Share = 0.99;
    const auto plain = compareLoads(setup, plainLoad({}, 1), setup.plain(), "plain calls");
    printRow("plain call, p50", quantile(plain.direct.latencies, medianShare), quantile(plain.through.latencies, medianShare), "us");
    printRow("plain call, p99", quantile(plain.direct.latencies, p99Share), quantile(plain.through.latencies, p99Share), "us");
    const auto chat = compareLoads(setup, chatLoad({}, 1, 1), setup.engine(), "first tokens");
    printRow("first token, p50", quantile(chat.direct.firstTokens, medianShare), quantile(chat.through.firstTokens, medianShare), "us");
    printRow("first token, p99", quantile(chat.direct.firstTokens, p99Share), quantile(chat.through.firstTokens, p99Share), "us");
}

void measureThroughput(Setup& setup)
{
    constexpr std::size_t connections = 32;
    constexpr std::size_t tokens = 200;
    const auto plain = compareLoads(setup, plainLoad({}, connections), setup.plain(), "plain calls");
    printRow("plain calls, 32 connections", plain.direct.requestsPerSecond(), plain.through.requestsPerSecond(), "requests/s");
    const double perRequest = plain.instanceMicroseconds / static_cast<double>(plain.through.requests);
    const auto chat = compareLoads(setup, chatLoad({}, connections, tokens), setup.engine(), "streams");
    printRow("streams of 200 tokens, 32 connections", chat.direct.tokensPerSecond(), chat.through.tokensPerSecond(), "tokens/s");
    const double perToken = chat.instanceMicroseconds / static_cast<double>(chat.through.tokens);
    std::cout << "\nInstance: " << perRequest << " us of a core for a plain call, " << 1e6 / perRequest << " requests/s for a core; " << perToken
              << " us for a token, " << 1e6 / perToken << " tokens/s for a core.\n";
}

// Uses slow streams, so that all of them are open when the memory is read.
void measureMemory()
{
    constexpr double tokensPerSecond = 2;
    Setup setup(tokensPerSecond);
    for (const std::size_t streams : { 25, 50, 75, 100 }) {
        auto spec = chatLoad(setup.entry(), streams, 6);
        spec.duration = std::chrono::milliseconds(200);
        const auto before = usageOf(setup.pid());
        LoadResult result;
        std::jthread load([&] { result = runLoad(spec); });
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        const auto during = usageOf(setup.pid());
        load.join();
        checkLoad(result, "open streams");
        std::cout << "Open streams " << streams << ": " << (during.residentBytes - before.residentBytes) / static_cast<double>(streams) << " bytes more each, "
                  << during.residentBytes / 1e6 << " MB in all.\n";
    }
}

} // namespace

// With any argument, the memory of open streams is not measured.
int main(int argc, char**)
{
    try {
        std::cout << "| load | direct | through one instance | unit | ratio |\n|---|---|---|---|---|\n";
        {
            constexpr double fastTokens = 2000;
            Setup setup(fastTokens);
            measureLatency(setup);
            measureThroughput(setup);
        }
        if (argc == 1)
            measureMemory();
    } catch (const std::exception& fault) {
        std::cerr << "speed: " << fault.what() << "\n";
        return 1;
    }
    return 0;
}
