#include "demo/platform_demo.hpp"

#include "tests/support/process_fleet.hpp"
#include "tests/support/wait.hpp"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <csignal>
#include <fstream>
#include <ostream>
#include <thread>

namespace yuccashift::demo {

using test::answersAttempt;
using test::PublishedRoute;
using test::sealOf;
using test::waitUntil;

namespace {

    constexpr int streamsUnderStop = 6;
    constexpr std::int64_t firstVersion = 3;
    constexpr std::int64_t secondVersion = 8;
    const std::vector<std::string> instances { "sofia-1", "sofia-2", "varna-1" };

    const std::vector<PublishedRoute> routes {
        { "/balance/", "idempotent", "pass-ledger", {}, false, 2 },
        { "/redeem/", "non_idempotent", "pass-ledger", {}, false, 1 },
        { "/stream/draft/", "streaming", "pass-assistant", {}, false, 1 },
        { "/varna-only/", "idempotent", "pass-ledger", { "varna" }, false, 2 },
    };

    /** Returns whether the stream of a stand-in includes its last event. */
    bool wholeStream(const test::HttpReply& reply, const std::string& attempt)
    {
        return reply.ok() && reply.complete && reply.body.find(attempt + ".20\n") != std::string::npos;
    }

} // namespace

PlatformDemo::PlatformDemo(std::ostream& out)
    : m_out(out)
    , m_steps(out)
    , m_folder(test::makeFolder("platform-demo-logs"))
{
}

bool PlatformDemo::run()
{
    start();
    queryDirectory();
    callInOwnRegion();
    callBoundFromElsewhere();
    changeConfiguration();
    serveWhileStoreIsDown();
    evacuate();
    stopUnderLoad();
    return m_steps.allPassed();
}

void PlatformDemo::showRequestLog(const std::string& attempt)
{
    std::string lines;
    unsigned n = 0;
    // The instance logs the end of a request after it has sent the answer, so wait for that line.
    const bool ended = waitUntil([&] {
        std::vector<std::string> arguments { test::ProcessFleet::program("src/cli/yuccashift"), "request-log", attempt };
        for (const auto& name : instances) {
            const auto file = m_folder + "/" + name + ".log";
            std::ofstream(file) << m_fleet.entry(name).output();
            arguments.push_back(file);
        }
        test::ChildProcess process(arguments, "", m_folder, "request-log-" + std::to_string(++n));
        process.waitForExit();
        lines = process.output();
        return lines.find("request served") != std::string::npos;
    });
    m_out << lines;
    m_steps.check(ended, "'yuccashift request-log " + attempt + "' tells its way from the instances' logs");
}

void PlatformDemo::start()
{
    m_out << "\n== The users' platform: instances that read its store\n";
    for (const auto* region : { "sofia", "varna" }) {
        for (const auto* service : { "pass-assistant", "pass-ledger" }) {
            const auto id = std::string(service) + "-" + region;
            m_fleet.publish({ id, service, std::string("hall-") + region, m_fleet.startWorker(id, region) });
        }
    }
    m_fleet.publishConfig(firstVersion, routes);
    m_fleet.startEntry("sofia-1", "sofia");
    m_fleet.startEntry("sofia-2", "sofia");
    m_fleet.startEntry("varna-1", "varna");
    bool ready = true;
    for (const auto& name : instances)
        ready = m_fleet.waitReady(name) && ready;
    m_steps.check(ready, "three instances read the configuration and say that they are ready");
    const auto others = static_cast<double>(instances.size()) - 1;
    m_steps.check(waitUntil([&] { return m_fleet.metric("varna-1", "yuccashift_instances_heard") == others && m_fleet.metric("sofia-1", "yuccashift_instances_heard") == others; }), "they hear each other");
}

void PlatformDemo::queryDirectory()
{
    const auto named = m_fleet.directory("varna-1", "sofia");
    m_out << "\n-- the directory of varna-1, asked for sofia\n  " << boost::algorithm::join(named, " ") << "\n";
    m_steps.check(named.size() == 2, "it names the two instances of sofia");
}

void PlatformDemo::callInOwnRegion()
{
    m_out << "\n-- an idempotent call, a redemption and a stream at sofia-1\n";
    const auto balance = m_fleet.call("sofia-1", "balance-1", "GET", "/balance/x");
    m_steps.check(balance.ok() && answersAttempt(balance, "balance-1"), "the answer is whole and the caller's own, sealed by " + sealOf(balance));
    const auto redeemed = m_fleet.call("sofia-1", "redeem-1", "POST", "/redeem/x", "pass");
    m_steps.check(redeemed.ok() && m_fleet.runsOf("redeem-1") == 1, "the redemption ran once");
    const auto draft = m_fleet.call("sofia-1", "draft-1", "POST", "/stream/draft/x", "prompt");
    m_steps.check(wholeStream(draft, "draft-1"), "the stream came to its end");
}

void PlatformDemo::callBoundFromElsewhere()
{
    m_out << "\n-- a request bound to varna that arrives at sofia-1\n";
    const auto reply = m_fleet.call("sofia-1", "bound-1", "GET", "/varna-only/x");
    m_steps.check(reply.ok() && sealOf(reply) == "pass-ledger-varna.bound-1", "it was served in varna");
    showRequestLog("bound-1");
}

void PlatformDemo::changeConfiguration()
{
    m_out << "\n-- a new configuration, published once\n";
    auto changed = routes;
    changed.push_back({ "/entries/", "idempotent", "pass-ledger", {}, false, 2 });
    m_fleet.publishConfig(secondVersion, changed);
    for (const auto& name : instances)
        m_steps.check(waitUntil([&] { return m_fleet.call(name, "entries-" + name, "GET", "/entries/x").ok(); }), "the added route is served at " + name);
}

void PlatformDemo::serveWhileStoreIsDown()
{
    m_out << "\n-- the store resets every connection\n";
    m_fleet.control("store", "/control/mode", R"({"mode":"reset"})");
    m_steps.check(m_fleet.call("sofia-2", "down-1", "GET", "/balance/x").ok(), "sofia-2 goes on with what it knows");
    m_fleet.control("store", "/control/mode", R"({"mode":"up"})");
}

void PlatformDemo::evacuate()
{
    m_out << "\n-- hall-sofia is evacuated and taken back\n";
    m_fleet.evacuate("hall-sofia", true);
    m_steps.check(waitUntil([&] { return sealOf(m_fleet.call("sofia-1", "evacuated-1", "GET", "/balance/x")) == "pass-ledger-varna.evacuated-1"; }), "requests of sofia go to varna");
    m_fleet.evacuate("hall-sofia", false);
    m_steps.check(waitUntil([&] { return sealOf(m_fleet.call("sofia-1", "back-1", "GET", "/balance/x")) == "pass-ledger-sofia.back-1"; }), "and come back");
}

void PlatformDemo::stopUnderLoad()
{
    m_out << "\n-- SIGTERM for sofia-1 while " << streamsUnderStop << " streams are in progress\n";
    std::vector<char> whole(streamsUnderStop, 0);
    std::vector<std::thread> callers;
    callers.reserve(streamsUnderStop);
    for (int n = 0; n < streamsUnderStop; ++n) {
        callers.emplace_back([&, n] {
            const auto attempt = "stop-" + std::to_string(n);
            whole[static_cast<std::size_t>(n)] = wholeStream(m_fleet.call("sofia-1", attempt, "POST", "/stream/draft/x", "prompt"), attempt) ? 1 : 0;
        });
    }
    waitUntil([&] { return m_fleet.metric("sofia-1", "yuccashift_requests_in_progress") > 0; });
    m_fleet.entry("sofia-1").signal(SIGTERM);
    m_steps.check(waitUntil([&] { return m_fleet.directory("sofia-2", "sofia").size() == 1; }), "the directory leaves it out");
    for (auto& it : callers)
        it.join();
    m_steps.check(std::ranges::count(whole, 1) == streamsUnderStop, "every stream came to its end");
    m_steps.check(m_fleet.entry("sofia-1").waitForExit() == 0, "it ended with status 0");
}

} // namespace yuccashift::demo
