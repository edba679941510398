#include "yuccashift/dispatch/server_choice.hpp"

#include <gtest/gtest.h>
#include <set>

namespace yuccashift {
namespace {

    ServerCandidate engine(std::uint64_t key)
    {
        ServerCandidate it;
        it.key = key;
        it.slots = 32;
        it.engine = true;
        it.memoryTokens = 500000;
        return it;
    }

    WorkSize draft()
    {
        WorkSize work;
        work.parts = { { 1, 500 }, { 2, 4900 }, { 3, 6600 } };
        work.promptTokens = 12000;
        work.outputTokens = 400;
        work.priority = 1;
        return work;
    }

    WorkSize query()
    {
        WorkSize work;
        work.promptTokens = 1800;
        work.outputTokens = 20;
        return work;
    }

    struct AServerChoice : testing::Test {
        std::vector<ServerCandidate> servers { engine(1), engine(2), engine(3) };

        ServerChoice choose(const WorkSize& work, Duration affinityLimit = Duration::zero(), std::uint64_t randomBits = 0) const
        {
            return chooseServer(servers, work, { affinityLimit, {}, {} }, randomBits);
        }
    };

    // The only server that could continue a stream was passed over as failing, by comparison with those that could not.
    TEST_F(AServerChoice, ComparesFailuresAmongTheServersOfOneSoftware)
    {
        servers[0].failureShare = 0.6;
        servers[0].outcomeSamples = 9;
        EXPECT_NE(choose(query()).best, 0u);
        servers[1].otherSoftware = true;
        servers[2].otherSoftware = true;
        EXPECT_EQ(choose(query()).best, 0u);
    }

    TEST_F(AServerChoice, RejectsServersThatCannotTakeTheRequestAndSaysWhy)
    {
        struct Case {
            ServerRejectReason reason;
            void (*makeUnusable)(ServerCandidate&);
        };
        const std::vector<Case> cases {
            { ServerRejectReason::Tried, [](ServerCandidate& it) { it.tried = true; } },
            { ServerRejectReason::OtherSoftware, [](ServerCandidate& it) { it.otherSoftware = true; } },
            { ServerRejectReason::Suspect, [](ServerCandidate& it) { it.suspect = true; } },
            { ServerRejectReason::Full, [](ServerCandidate& it) { it.fullFor = milliseconds(1); } },
            { ServerRejectReason::Cold, [](ServerCandidate& it) { it.cold = true; } },
            { ServerRejectReason::NoConnections, [](ServerCandidate& it) { it.connectionsLeft = false; } },
            { ServerRejectReason::Failing, [](ServerCandidate& it) { it.failureShare = 0.9; it.outcomeSamples = 9; } },
        };
        for (const auto& row : cases) {
            servers = { engine(1), engine(2), engine(3) };
            row.makeUnusable(servers[0]);
            row.makeUnusable(servers[1]);
            servers[2].load.requests = 20;
            if (row.reason == ServerRejectReason::Failing)
                servers[1] = servers[2];
            const auto choice = choose(query());
            ASSERT_EQ(choice.best, 2u) << toString(row.reason);
            EXPECT_EQ(choice.rejectReasons[0], row.reason);
            EXPECT_EQ(choice.rejectSummary(), std::string(toString(row.reason)) + (row.reason == ServerRejectReason::Failing ? ":1" : ":2"));
        }
    }

    TEST_F(AServerChoice, ChoosesNothingIfNoServerCanTakeTheRequest)
    {
        for (auto& it : servers)
            it.suspect = true;
        EXPECT_FALSE(choose(query()).best);
    }

    TEST_F(AServerChoice, UsesFailingServersIfAllFailAlike)
    {
        for (auto& it : servers) {
            it.failureShare = 0.5;
            it.outcomeSamples = 20;
        }
        EXPECT_TRUE(choose(query()).best);
    }

    TEST_F(AServerChoice, UsesAColdServerOnlyIfAllowedToWarmItUp)
    {
        servers = { engine(1) };
        servers[0].cold = true;
        EXPECT_FALSE(choose(query()).best);
        servers[0].warmUpAllowed = true;
        EXPECT_TRUE(choose(query()).best);
    }

    TEST_F(AServerChoice, SpreadsRequestsOverEqualServersAtRandom)
    {
        std::set<std::size_t> chosen;
        for (std::uint64_t randomBits = 0; randomBits < 60; ++randomBits)
            chosen.insert(*choose(query(), Duration::zero(), randomBits * 7919).best);
        EXPECT_EQ(chosen.size(), 3u);
    }

    // Guards against urgent queries that count a queue full of less urgent drafts as their own wait.
    TEST_F(AServerChoice, CountsOnlyPromptsOfTheSameOrHigherPriorityAsAhead)
    {
        servers = { engine(1) };
        servers[0].load.waitingPromptTokens[1] = 60000;
        EXPECT_LT(predictTimeToFirstByte(servers[0], query()), milliseconds(120));
        EXPECT_GT(predictTimeToFirstByte(servers[0], draft()), milliseconds(1000));
    }

    // The prefill of a prompt of fifty thousand tokens is not interrupted for more urgent requests.
    TEST_F(AServerChoice, KeepsUrgentRequestsAwayFromAServerInALongPrefill)
    {
        servers[0].prefillTokensAhead = 50000;
        servers[1].load.requests = 25;
        servers[2].load.requests = 25;
        EXPECT_NE(choose(query()).best, 0u);
        EXPECT_GT(predictTimeToFirstByte(servers[0], query()), milliseconds(800));
    }

    // Guards against a popular prefix that fills the queue of its server while others in the region are idle.
    TEST_F(AServerChoice, LeavesTheHolderOfAShortPrefixForAnIdleServer)
    {
        auto work = query();
        work.parts = { { 1, 500 }, { 9, 1300 } };
        servers[0].cachedTokens = 500;
        servers[0].load.waitingPromptTokens[0] = 40000;
        const auto choice = choose(work, milliseconds(800));
        EXPECT_NE(choice.best, 0u);
        servers[0].load.waitingPromptTokens[0] = 1500;
        EXPECT_EQ(choose(work, milliseconds(800)).best, 0u);
    }

    // The same documents recur in many requests; each prefill of them on a second server delays all requests there.
    TEST_F(AServerChoice, PrefersTheHolderOfThePrefixWhileItAnswersWithinTheLimit)
    {
        servers[0].cachedTokens = 5400;
        servers[0].load.requests = 20;
        servers[0].load.waitingPromptTokens[1] = 9000;
        EXPECT_EQ(choose(draft(), milliseconds(450)).best, 0u);
        servers[0].load.waitingPromptTokens[1] = 60000;
        EXPECT_NE(choose(draft(), milliseconds(450)).best, 0u);
    }

    TEST_F(AServerChoice, CountsTheDelayOfOtherRequestsAgainstARepeatedPrefill)
    {
        servers[0].cachedTokens = 5400;
        servers[0].load.waitingPromptTokens[1] = 7000;
        EXPECT_EQ(choose(draft()).best, 0u);
    }

    // Long answers fill an engine's memory before its slots.
    TEST_F(AServerChoice, AvoidsAnEngineWhoseMemoryIsFull)
    {
        servers[0].load.memoryTokens = 490000;
        servers[0].load.requests = 5;
        servers[1].load.requests = 12;
        servers[2].load.requests = 12;
        EXPECT_NE(choose(draft()).best, 0u);
    }

    // A server stops answering: its requests wait without a first byte while other servers answer.
    TEST_F(AServerChoice, AvoidsAStalledServerBeforeItsConnectionsBreak)
    {
        servers[0].oldestWait = seconds(2);
        servers[1].load.requests = 15;
        servers[2].load.requests = 15;
        EXPECT_NE(choose(query()).best, 0u);
    }

    // One server becomes five times slower while its health check still succeeds.
    TEST_F(AServerChoice, AvoidsAServerWhoseStreamsAreMuchSlowerThanTheMedian)
    {
        servers[0].streamChunkGap = milliseconds(200);
        servers[1].streamChunkGap = milliseconds(40);
        servers[2].streamChunkGap = milliseconds(50);
        applyStreamSlowness(servers);
        EXPECT_DOUBLE_EQ(servers[0].slowness, 4.0);
        EXPECT_DOUBLE_EQ(servers[2].slowness, 1.0);
        servers[1].load.requests = 15;
        servers[2].load.requests = 15;
        EXPECT_NE(choose(draft()).best, 0u);
    }

    TEST_F(AServerChoice, ComparesStreamsOnlyIfThereAreEnough)
    {
        servers[0].streamChunkGap = milliseconds(400);
        servers[1].streamChunkGap = milliseconds(40);
        applyStreamSlowness(servers);
        EXPECT_DOUBLE_EQ(servers[0].slowness, 1.0);
    }

    // Guards against thirty instances that learn of each other's requests late and all choose the same idle server.
    TEST_F(AServerChoice, UsesOnlySampledServersUnlessNoneOfThemCanTakeTheRequest)
    {
        servers[0].sampled = false;
        servers[1].load.requests = 20;
        servers[2].load.requests = 40;
        const auto choice = choose(query());
        EXPECT_EQ(choice.best, 1u);
        EXPECT_EQ(choice.rejectReasons[0], ServerRejectReason::NotSampled);
        servers[1].suspect = true;
        servers[2].suspect = true;
        EXPECT_EQ(choose(query()).best, 0u);
    }

    TEST_F(AServerChoice, NamesTheRunnerUp)
    {
        servers[1].load.requests = 10;
        servers[2].load.requests = 20;
        const auto choice = choose(query());
        EXPECT_EQ(choice.best, 0u);
        EXPECT_EQ(choice.runnerUp, 1u);
        EXPECT_GT(choice.runnerUpPredicted, choice.predicted);
    }

} // namespace
} // namespace yuccashift
