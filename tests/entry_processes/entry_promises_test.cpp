#include "platform/standins/entry_fleet.hpp"
#include "tests/support/relay.hpp"
#include "tests/support/wait.hpp"

#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace yuccashift::test {
namespace {

    const std::vector<PublishedRoute> routes {
        { "/read/", "idempotent", "ledger", {}, false, 2 },
        { "/write/", "non_idempotent", "ledger", {}, false, 1 },
        { "/stream/", "streaming", "draft", {}, true, 2 },
        { "/once/stream/", "streaming", "draft", {}, false, 1 },
        { "/home/", "idempotent", "ledger", { "varna" }, false, 2 },
    };

    /** Two instances in sofia and one in varna, each region with a ledger and two engines. */
    class EntryInstances : public testing::Test {
    protected:
        EntryInstances()
        {
            for (const auto* region : { "sofia", "varna" }) {
                startServer(std::string("ledger-") + region, "ledger", region);
                startServer(std::string("draft-1-") + region, "draft", region);
                startServer(std::string("draft-2-") + region, "draft", region);
            }
            fleet.publishConfig(3, routes);
            fleet.startEntry("sofia-1", "sofia");
            fleet.startEntry("sofia-2", "sofia");
            fleet.startEntry("varna-1", "varna");
            for (const auto* name : { "sofia-1", "sofia-2", "varna-1" })
                EXPECT_TRUE(fleet.waitReady(name));
            EXPECT_TRUE(waitUntil([&] { return fleet.metric("sofia-1", "yuccashift_instances_heard") == 2 && fleet.metric("varna-1", "yuccashift_instances_heard") == 2; }));
        }

        void startServer(const std::string& id, const std::string& service, const std::string& region)
        {
            fleet.publish({ id, service, "hall-" + region, fleet.startWorker(id, region) });
        }

        static std::string streamOf(const std::string& attempt)
        {
            std::string text;
            for (int n = 1; n <= 20; ++n)
                text += "id: " + std::to_string(n) + "\ndata: " + attempt + "." + std::to_string(n) + "\n\n";
            return text;
        }

        EntryFleet fleet { "entry" };
    };

    TEST_F(EntryInstances, AnswerWithTheServersWholeAnswerAndItsSeal)
    {
        const auto reply = fleet.call("sofia-1", "a1", "GET", "/read/x");
        EXPECT_TRUE(reply.ok());
        EXPECT_EQ(sealOf(reply), "ledger-sofia.a1");
        EXPECT_TRUE(answersAttempt(reply, "a1"));
        const auto stream = fleet.call("sofia-2", "a2", "POST", "/once/stream/x", "prompt");
        EXPECT_TRUE(stream.ok());
        EXPECT_EQ(stream.body, streamOf("a2"));
    }

    TEST_F(EntryInstances, PassARequestToAnInstanceOfItsHomeAndTheDeadlineWithIt)
    {
        const auto reply = fleet.call("sofia-1", "h1", "GET", "/home/x", {}, std::chrono::milliseconds(1500));
        EXPECT_TRUE(reply.ok());
        EXPECT_EQ(sealOf(reply), "ledger-varna.h1");
        const auto deadline = fleet.read("ledger-varna", "/control/runs").at("deadlines").as_object().at("h1").as_string();
        EXPECT_LE(std::stoi(std::string(deadline)), 1500);
        EXPECT_GT(std::stoi(std::string(deadline)), 0);
    }

    TEST_F(EntryInstances, RefuseWhatMayOnlyRunWhereNobodyCanTakeIt)
    {
        fleet.withdraw("ledger-varna");
        EXPECT_TRUE(waitUntil([&] { return fleet.call("sofia-1", "h2", "GET", "/home/x").status == 503; }));
        const auto reply = fleet.call("sofia-1", "h3", "GET", "/home/x");
        EXPECT_EQ(reply.status, 503);
        EXPECT_FALSE(reply.header("retry-after").empty());
        EXPECT_EQ(fleet.runsOf("h3"), 0u);
    }

    TEST_F(EntryInstances, KnowOnlyRoutesOfTheConfiguration)
    {
        EXPECT_EQ(fleet.call("sofia-1", "n1", "GET", "/none/x").status, 404);
        fleet.publishConfig(8, { { "/none/", "idempotent", "ledger", {}, false, 1 } });
        for (const auto* name : { "sofia-1", "sofia-2", "varna-1" })
            EXPECT_TRUE(waitUntil([&] { return fleet.call(name, "n2", "GET", "/none/x").ok(); })) << name;
        fleet.publishConfig(7, routes);
        fleet.publish({ "marker", "marker", "hall-sofia", fleet.worker("ledger-sofia") });
        EXPECT_TRUE(waitUntil([&] { return fleet.metric("sofia-1", "yuccashift_servers_known") == 7; }));
        EXPECT_EQ(fleet.call("sofia-1", "n3", "GET", "/read/x").status, 404);
        EXPECT_EQ(fleet.metric("sofia-1", "yuccashift_config_version"), 8);
    }

    TEST_F(EntryInstances, RunWorkThatMayNotBeRepeatedOnceWhenItsAnswerIsLost)
    {
        for (const auto* path : { "/control/lose-answers", "/control/cut-answers" }) {
            fleet.control("ledger-sofia", path, R"({"count":1})");
            const auto attempt = std::string("w") + path;
            const auto reply = fleet.call("sofia-1", attempt, "POST", "/write/x", "body");
            EXPECT_EQ(reply.status, 502) << path;
            EXPECT_EQ(fleet.runsOf(attempt), 1u) << path;
        }
    }

    TEST_F(EntryInstances, RepeatIdempotentWorkWhenItsAnswerIsLostOrAFailure)
    {
        for (const auto* path : { "/control/lose-answers", "/control/cut-answers", "/control/fail-answers" }) {
            fleet.control("ledger-sofia", path, R"({"count":1})");
            const auto attempt = std::string("r") + path;
            const auto reply = fleet.call("sofia-1", attempt, "GET", "/read/x");
            EXPECT_TRUE(reply.ok()) << path << ' ' << reply.status;
            EXPECT_EQ(sealOf(reply), "ledger-varna." + attempt) << path;
        }
    }

    TEST_F(EntryInstances, PassOnAFailureOfWorkThatMayNotBeRepeated)
    {
        fleet.control("ledger-sofia", "/control/fail-answers", R"({"count":1})");
        const auto reply = fleet.call("sofia-1", "f1", "POST", "/write/x", "body");
        EXPECT_EQ(reply.status, 500);
        EXPECT_EQ(sealOf(reply), "ledger-sofia.f1");
        EXPECT_EQ(fleet.runsOf("f1"), 1u);
    }

    TEST_F(EntryInstances, GoOnWithAResumableStreamAtAnotherServer)
    {
        fleet.control("draft-1-sofia", "/control/cut-streams", R"({"count":1})");
        fleet.control("draft-2-sofia", "/control/cut-streams", R"({"count":1})");
        // The first cut meets one server; the other one is cut in its turn only by the next stream.
        const auto reply = fleet.call("sofia-1", "s1", "POST", "/stream/x", "prompt");
        const bool whole = reply.complete && reply.body == streamOf("s1");
        EXPECT_TRUE(whole || !reply.complete);
        const auto next = fleet.call("sofia-1", "s2", "POST", "/stream/x", "prompt");
        EXPECT_TRUE(next.ok());
        EXPECT_EQ(next.body, streamOf("s2"));
    }

    TEST_F(EntryInstances, NeverPresentAStreamThatBrokeOffAsWhole)
    {
        fleet.control("draft-1-sofia", "/control/cut-streams", R"({"count":9})");
        fleet.control("draft-2-sofia", "/control/cut-streams", R"({"count":9})");
        const auto reply = fleet.call("sofia-1", "o1", "POST", "/once/stream/x", "prompt");
        EXPECT_EQ(reply.status, 200);
        EXPECT_FALSE(reply.complete);
        EXPECT_TRUE(streamOf("o1").starts_with(reply.body));
        EXPECT_EQ(fleet.runsOf("o1"), 1u);
    }

    TEST_F(EntryInstances, DropAnswersThatBelongToNoRequest)
    {
        fleet.control("ledger-sofia", "/control/extra-answers", R"({"count":5})");
        for (int n = 0; n < 8; ++n) {
            const auto attempt = "x" + std::to_string(n);
            const auto reply = fleet.call("sofia-1", attempt, "GET", "/read/x");
            EXPECT_TRUE(reply.ok());
            EXPECT_TRUE(answersAttempt(reply, attempt));
        }
    }

    TEST_F(EntryInstances, SayThatNothingRanWhereServersRefuse)
    {
        fleet.control("ledger-sofia", "/control/refuse", R"({"on":true})");
        fleet.control("ledger-varna", "/control/refuse", R"({"on":true})");
        const auto reply = fleet.call("sofia-1", "q1", "POST", "/write/x", "body");
        EXPECT_EQ(reply.status, 503);
        EXPECT_FALSE(reply.header("retry-after").empty());
        EXPECT_EQ(fleet.runsOf("q1"), 0u);
    }

    TEST_F(EntryInstances, UseAnotherRegionWhileTheirOwnHasNoServer)
    {
        fleet.killWorker("ledger-sofia");
        EXPECT_TRUE(waitUntil([&] { return sealOf(fleet.call("sofia-1", "k1", "GET", "/read/x")) == "ledger-varna.k1"; }));
    }

    TEST_F(EntryInstances, SendNothingToServersThatLeaveOrAreEvacuated)
    {
        fleet.publish({ "ledger-sofia", "ledger", "hall-sofia", fleet.worker("ledger-sofia"), "draining" });
        EXPECT_TRUE(waitUntil([&] { return sealOf(fleet.call("sofia-1", "d1", "GET", "/read/x")) == "ledger-varna.d1"; }));
        fleet.publish({ "ledger-sofia", "ledger", "hall-sofia", fleet.worker("ledger-sofia"), "ready" });
        EXPECT_TRUE(waitUntil([&] { return sealOf(fleet.call("sofia-1", "d2", "GET", "/read/x")) == "ledger-sofia.d2"; }));
        fleet.evacuate("hall-sofia", true);
        EXPECT_TRUE(waitUntil([&] { return sealOf(fleet.call("sofia-1", "d3", "GET", "/read/x")) == "ledger-varna.d3"; }));
        fleet.evacuate("hall-sofia", false);
        EXPECT_TRUE(waitUntil([&] { return sealOf(fleet.call("sofia-1", "d4", "GET", "/read/x")) == "ledger-sofia.d4"; }));
    }

    TEST_F(EntryInstances, FinishWhatIsInProgressWhenToldToStopAndLeaveTheDirectory)
    {
        std::atomic<int> whole = 0;
        std::vector<std::thread> callers;
        for (int n = 0; n < 6; ++n) {
            callers.emplace_back([&, n] {
                const auto attempt = "t" + std::to_string(n);
                const auto reply = fleet.call("sofia-1", attempt, "POST", "/once/stream/x", "prompt");
                whole += reply.ok() && reply.body == streamOf(attempt) ? 1 : 0;
            });
        }
        EXPECT_TRUE(waitUntil([&] { return fleet.metric("sofia-1", "yuccashift_requests_in_progress") > 0; }));
        fleet.entry("sofia-1").signal(SIGTERM);
        EXPECT_TRUE(waitUntil([&] { return fleet.directory("sofia-2", "sofia").size() == 1; }));
        for (auto& it : callers)
            it.join();
        EXPECT_EQ(whole, 6);
        EXPECT_EQ(fleet.entry("sofia-1").waitForExit(), 0);
    }

    TEST_F(EntryInstances, ServeUntilTheyAreGoneAfterTheyWereToldToStop)
    {
        fleet.entry("sofia-1").signal(SIGTERM);
        EXPECT_TRUE(waitUntil([&] { return !fleet.isReady("sofia-1"); }));
        const auto reply = fleet.call("sofia-1", "z1", "GET", "/read/x");
        EXPECT_TRUE(reply.ok());
        EXPECT_EQ(reply.header("connection"), "close");
    }

    TEST_F(EntryInstances, LeaveKilledInstancesOutOfTheDirectory)
    {
        EXPECT_EQ(fleet.directory("sofia-2", "sofia").size(), 2u);
        fleet.entry("sofia-1").signal(SIGKILL);
        EXPECT_TRUE(waitUntil([&] { return fleet.directory("sofia-2", "sofia").size() == 1; }));
        EXPECT_TRUE(waitUntil([&] { return fleet.directory("varna-1", "sofia").size() == 1; }));
    }

    TEST_F(EntryInstances, LearnANewConfigurationFromPeersWhileTheStoreRefusesThem)
    {
        Relay relay;
        relay.setTarget(fleet.store());
        fleet.startEntry("sofia-3", "sofia", relay.endpoint());
        EXPECT_TRUE(fleet.waitReady("sofia-3"));
        relay.setMode(RelayMode::Cut);
        fleet.publishConfig(9, { { "/new/", "idempotent", "ledger", {}, false, 1 } });
        EXPECT_TRUE(waitUntil([&] { return fleet.call("sofia-3", "p1", "GET", "/new/x").ok(); }));
    }

    TEST_F(EntryInstances, StartFromTheirPeersWhileTheStoreIsDown)
    {
        fleet.control("store", "/control/mode", R"({"mode":"reset"})");
        fleet.startEntry("sofia-4", "sofia");
        EXPECT_TRUE(fleet.waitReady("sofia-4"));
        EXPECT_TRUE(fleet.call("sofia-4", "b1", "GET", "/read/x").ok());
    }

    TEST_F(EntryInstances, ReadEverythingAgainWhenTheStoreForgetsItsHistory)
    {
        fleet.control("store", "/control/mode", R"({"mode":"busy"})");
        fleet.publishConfig(12, { { "/late/", "idempotent", "ledger", {}, false, 1 } });
        fleet.control("store", "/control/compact", "");
        fleet.control("store", "/control/mode", R"({"mode":"up"})");
        EXPECT_TRUE(waitUntil([&] { return fleet.call("varna-1", "c1", "GET", "/late/x").ok(); }));
    }

    TEST_F(EntryInstances, AnswerCallersOfARegionCutOffFromTheOther)
    {
        fleet.entry("sofia-1").signal(SIGSTOP);
        fleet.entry("sofia-2").signal(SIGSTOP);
        const auto reply = fleet.call("varna-1", "v1", "GET", "/read/x");
        EXPECT_TRUE(reply.ok());
        EXPECT_EQ(sealOf(reply), "ledger-varna.v1");
        fleet.entry("sofia-1").signal(SIGCONT);
        fleet.entry("sofia-2").signal(SIGCONT);
    }

} // namespace
} // namespace yuccashift::test
