#include "yuccashift/dispatch/server_tracker.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct AServerTracker : testing::Test {
        AServerTracker()
        {
            work.parts = { { 1, 500 }, { 2, 1500 } };
            work.promptTokens = 2000;
            work.outputTokens = 100;
            work.priority = 1;
        }

        VirtualClock clock;
        ServerTracker tracker { clock };
        WorkSize work;
        static constexpr std::uint64_t server = 42;
        static constexpr std::uint64_t memory = 100000;
    };

    TEST_F(AServerTracker, CountsARequestFromSendingToCompletion)
    {
        auto ticket = tracker.onSend(server, { work, 1500, milliseconds(100), 1.0, true, memory });
        EXPECT_EQ(tracker.statusOf(server).own.requests, 1);
        EXPECT_EQ(tracker.statusOf(server).own.waitingPromptTokens[1], 1500);
        tracker.onFirstByte(ticket);
        EXPECT_EQ(tracker.statusOf(server).own.waitingPromptTokens[1], 0);
        EXPECT_EQ(tracker.statusOf(server).own.memoryTokens, 2100);
        tracker.onComplete(ticket, ServerOutcome::Succeeded);
        tracker.onComplete(ticket, ServerOutcome::Succeeded);
        EXPECT_EQ(tracker.statusOf(server).own.requests, 0);
        EXPECT_EQ(tracker.statusOf(server).own.memoryTokens, 0);
    }

    TEST_F(AServerTracker, LearnsTheSlownessOfASlowServer)
    {
        for (int n = 0; n < 60; ++n) {
            auto ticket = tracker.onSend(server, { work, 0, milliseconds(100), 1.0, true, memory });
            clock.advance(milliseconds(300));
            tracker.onFirstByte(ticket);
            tracker.onComplete(ticket, ServerOutcome::Succeeded);
        }
        EXPECT_NEAR(tracker.expectedSlowness(server, true, 1), 3.0, 0.3);
        EXPECT_DOUBLE_EQ(tracker.expectedSlowness(server, true, 0), 1.0);
    }

    TEST_F(AServerTracker, DoesNotCountSlownessThatThePredictionAlreadyIncludes)
    {
        for (int n = 0; n < 60; ++n) {
            const double slowness = tracker.expectedSlowness(server, true, 1);
            const auto predicted = std::chrono::duration_cast<Duration>(milliseconds(100) * slowness);
            auto ticket = tracker.onSend(server, { work, 0, predicted, slowness, true, memory });
            clock.advance(milliseconds(200));
            tracker.onFirstByte(ticket);
            tracker.onComplete(ticket, ServerOutcome::Succeeded);
        }
        EXPECT_NEAR(tracker.expectedSlowness(server, true, 1), 2.0, 0.2);
    }

    // With seventy busy servers and many instances, each instance has few samples of any one server.
    TEST_F(AServerTracker, ExpectsTheOverallSlownessOfAnUnseenServer)
    {
        for (std::uint64_t n = 1; n <= 60; ++n) {
            auto ticket = tracker.onSend(n, { work, 0, milliseconds(100), 1.0, true, memory });
            clock.advance(milliseconds(250));
            tracker.onFirstByte(ticket);
            tracker.onComplete(ticket, ServerOutcome::Succeeded);
        }
        EXPECT_NEAR(tracker.expectedSlowness(999, true, 1), 2.5, 0.2);
    }

    TEST_F(AServerTracker, LearnsHowManyRequestsAServerTakes)
    {
        std::vector<RequestTicket> tickets;
        tickets.reserve(32);
        for (int n = 0; n < 31; ++n)
            tickets.push_back(tracker.onSend(server, { work, 0, milliseconds(100), 1.0, false, 0, 6 }));
        tracker.onComplete(tickets.back(), ServerOutcome::Rejected);
        EXPECT_TRUE(tracker.statusOf(server).atRequestLimit(clock.now()));
        tracker.onComplete(tickets.front(), ServerOutcome::Succeeded);
        EXPECT_FALSE(tracker.statusOf(server).atRequestLimit(clock.now()));
        tickets.push_back(tracker.onSend(server, { work, 0, milliseconds(100), 1.0, false, 0, 6 }));
        EXPECT_TRUE(tracker.statusOf(server).atRequestLimit(clock.now()));
        clock.advance(seconds(5));
        EXPECT_FALSE(tracker.statusOf(server).atRequestLimit(clock.now()));
    }

    TEST_F(AServerTracker, ExpectsAServerToTakeAtLeastAsManyRequestsAsItHasSlots)
    {
        auto ticket = tracker.onSend(server, { work, 0, milliseconds(100), 1.0, false, 0, 6 });
        tracker.onComplete(ticket, ServerOutcome::Rejected);
        EXPECT_EQ(tracker.statusOf(server).requestLimit, 6);
    }

    TEST_F(AServerTracker, UsesWhatTheOwnerReportsUntilItHasSamplesOfItsOwn)
    {
        OwnerReport report;
        report.slowness = { 0, 2.5, 0, 0 };
        report.receivedAt = clock.now();
        tracker.setOwnerReports("a", { { server, report } });
        EXPECT_DOUBLE_EQ(tracker.expectedSlowness(server, true, 1), 2.5);
        EXPECT_DOUBLE_EQ(tracker.expectedSlowness(server, true, 0), 1.0);
        clock.advance(ownerReportLifetime);
        EXPECT_DOUBLE_EQ(tracker.expectedSlowness(server, true, 1), 1.0);
        tracker.setOwnerReports("a", {});
        EXPECT_FALSE(tracker.statusOf(server).ownerReport);
    }

    TEST_F(AServerTracker, LearnsNothingFromAbandonedRequests)
    {
        auto ticket = tracker.onSend(server, { work, 0, milliseconds(100), 1.0, true, memory });
        tracker.onComplete(ticket, ServerOutcome::Abandoned);
        EXPECT_EQ(tracker.statusOf(server).outcomeSamples, 0u);
        EXPECT_FALSE(tracker.statusOf(server).waitingSince);
    }

    TEST_F(AServerTracker, ReplacesTheLoadThatAPeerReports)
    {
        ServerLoadSum load;
        load.requests = 5;
        tracker.setPeerLoads("a", { { server, load } });
        tracker.setPeerLoads("b", { { server, load } });
        EXPECT_EQ(tracker.statusOf(server).total().requests, 10);
        load.requests = 1;
        tracker.setPeerLoads("a", { { server, load } });
        EXPECT_EQ(tracker.statusOf(server).total().requests, 6);
        tracker.setPeerLoads("a", {});
        tracker.setPeerLoads("b", {});
        EXPECT_EQ(tracker.statusOf(server).total().requests, 0);
    }

    TEST_F(AServerTracker, TracksTheLongPromptThatAServerIsPrefilling)
    {
        work.priority = 2;
        const auto ticket = tracker.onSend(server, { work, 30000, milliseconds(500), 1.0, true, memory });
        EXPECT_EQ(tracker.prefillTokensAhead(server, 0), 30000);
        EXPECT_EQ(tracker.prefillTokensAhead(server, 2), 0);
        clock.advance(milliseconds(100));
        EXPECT_LT(tracker.prefillTokensAhead(server, 0), 30000);
        clock.advance(seconds(5));
        EXPECT_EQ(tracker.prefillTokensAhead(server, 0), 0);
        EXPECT_FALSE(ticket.firstByteSeen);
    }

    TEST_F(AServerTracker, UsesTheLongestPrefillThatPeersReport)
    {
        tracker.setPeerPrefill("a", server, { 9000, 1, clock.now() });
        tracker.setPeerPrefill("b", server, { 20000, 1, clock.now() });
        EXPECT_EQ(tracker.prefillTokensAhead(server, 0), 20000);
        clock.advance(seconds(2));
        EXPECT_EQ(tracker.prefillTokensAhead(server, 0), 0);
    }

    TEST_F(AServerTracker, ResetsTheFailuresOfAClearedServer)
    {
        for (int n = 0; n < 10; ++n) {
            auto ticket = tracker.onSend(server, { work, 0, milliseconds(100), 1.0, true, memory });
            tracker.onComplete(ticket, ServerOutcome::Lost);
        }
        tracker.markSuspect(server);
        EXPECT_GT(tracker.statusOf(server).failureShare, 0.5);
        tracker.clearSuspect(server);
        EXPECT_FALSE(tracker.statusOf(server).suspect);
        EXPECT_DOUBLE_EQ(tracker.statusOf(server).failureShare, 0.0);
    }

    struct APrefixCacheEstimator : testing::Test {
        PrefixCacheEstimator estimator { 10000 };
        const std::vector<PromptPart> first { { 1, 500 }, { 2, 3000 }, { 3, 1000 } };
        const std::vector<PromptPart> second { { 1, 500 }, { 4, 3000 }, { 3, 1000 } };
    };

    TEST_F(APrefixCacheEstimator, MatchesAPartOnlyAfterTheSamePrecedingParts)
    {
        estimator.onPrefill(first);
        EXPECT_EQ(estimator.cachedTokens(first), 4500u);
        EXPECT_EQ(estimator.cachedTokens(second), 500u);
    }

    // Prompts of parts without tokens, no two alike, made the process exceed the memory of its machine.
    TEST_F(APrefixCacheEstimator, IsBoundedInEntriesHoweverFewTokensPartsHave)
    {
        const std::vector<PromptPart> sound { { 1, 500 }, { 2, 1500 } };
        constexpr std::size_t partsEach = 64;
        constexpr std::uint64_t prompts = 20000;
        constexpr std::size_t maxParts = 4096;
        estimator.onPrefill(sound);
        for (const std::uint32_t tokens : { 0, 1, 15 }) {
            for (std::uint64_t n = 0; n < prompts; ++n) {
                std::vector<PromptPart> parts;
                for (std::uint64_t part = 0; part < partsEach; ++part)
                    parts.push_back({ 1000 + n * partsEach + part, tokens });
                estimator.onPrefill(parts, maxParts);
                ASSERT_LE(estimator.size(), maxParts);
            }
            // They do not evict the prefixes that engines save by.
            EXPECT_EQ(estimator.cachedTokens(sound), 2000u) << tokens;
        }
    }

    TEST_F(AServerTracker, KeepsABoundedNumberOfPartsOfAllServersTogether)
    {
        constexpr std::size_t maxParts = 1000;
        constexpr std::uint64_t servers = 10;
        tracker.setMaxPrefixParts(maxParts);
        for (std::uint64_t n = 0; n < 40000; ++n) {
            WorkSize prompt;
            prompt.parts = { { 2 * n, 20 }, { 2 * n + 1, 30 } };
            tracker.onSend(1 + n % servers, { prompt, 0, milliseconds(100), 1.0, true, std::uint64_t { 1 } << 30 });
        }
        std::size_t sum = 0;
        for (std::uint64_t it = 1; it <= servers; ++it)
            sum += tracker.prefixCacheOf(it)->size();
        EXPECT_GT(sum, maxParts / 2);
        EXPECT_LE(sum, maxParts);
    }

    TEST_F(APrefixCacheEstimator, LooksPastAPartWithoutTokens)
    {
        const std::vector<PromptPart> parts { { 1, 500 }, { 2, 0 }, { 3, 700 } };
        estimator.onPrefill(parts);
        EXPECT_EQ(estimator.cachedTokens(parts), 1200u);
        EXPECT_EQ(estimator.cachedTokens(std::vector<PromptPart> { { 1, 500 }, { 4, 0 }, { 3, 700 } }), 500u);
    }

    TEST_F(APrefixCacheEstimator, EvictsTheLeastRecentlyUsedBeyondItsLimit)
    {
        estimator.onPrefill(first);
        estimator.onPrefill(second);
        const std::vector<PromptPart> third { { 9, 8000 } };
        estimator.onPrefill(third);
        EXPECT_EQ(estimator.cachedTokens(third), 8000u);
        EXPECT_EQ(estimator.cachedTokens(first), 0u);
    }

} // namespace
} // namespace yuccashift
