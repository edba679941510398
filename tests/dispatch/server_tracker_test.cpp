#include "yuccashift/dispatch/server_tracker.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct AServerBook : testing::Test {
        AServerBook()
        {
            work.parts = { { 1, 500 }, { 2, 1500 } };
            work.promptTokens = 2000;
            work.outputTokens = 100;
            work.priority = 1;
        }

        VirtualClock clock;
        ServerTracker book { clock };
        WorkSize work;
        static constexpr std::uint64_t server = 42;
        static constexpr std::uint64_t memory = 100000;
    };

    TEST_F(AServerBook, CountsARequestFromItsSendingToItsEnd)
    {
        auto ticket = book.onSend(server, { work, 1500, milliseconds(100), 1.0, true, memory });
        EXPECT_EQ(book.statusOf(server).own.requests, 1);
        EXPECT_EQ(book.statusOf(server).own.waitingPromptTokens[1], 1500);
        book.onFirstByte(ticket);
        EXPECT_EQ(book.statusOf(server).own.waitingPromptTokens[1], 0);
        EXPECT_EQ(book.statusOf(server).own.memoryTokens, 2100);
        book.onComplete(ticket, ServerOutcome::Succeeded);
        book.onComplete(ticket, ServerOutcome::Succeeded);
        EXPECT_EQ(book.statusOf(server).own.requests, 0);
        EXPECT_EQ(book.statusOf(server).own.memoryTokens, 0);
    }

    TEST_F(AServerBook, LearnsThePaceOfASlowServer)
    {
        for (int n = 0; n < 60; ++n) {
            auto ticket = book.onSend(server, { work, 0, milliseconds(100), 1.0, true, memory });
            clock.advance(milliseconds(300));
            book.onFirstByte(ticket);
            book.onComplete(ticket, ServerOutcome::Succeeded);
        }
        EXPECT_NEAR(book.expectedSlowness(server, true, 1), 3.0, 0.3);
        EXPECT_DOUBLE_EQ(book.expectedSlowness(server, true, 0), 1.0);
    }

    TEST_F(AServerBook, DoesNotCountTheSlownessThatAPredictionHeldAlready)
    {
        for (int n = 0; n < 60; ++n) {
            const double slowness = book.expectedSlowness(server, true, 1);
            const auto predicted = std::chrono::duration_cast<Duration>(milliseconds(100) * slowness);
            auto ticket = book.onSend(server, { work, 0, predicted, slowness, true, memory });
            clock.advance(milliseconds(200));
            book.onFirstByte(ticket);
            book.onComplete(ticket, ServerOutcome::Succeeded);
        }
        EXPECT_NEAR(book.expectedSlowness(server, true, 1), 2.0, 0.2);
    }

    // Pattern: seventy servers, each seen rarely by each of many instances, and all busy.
    TEST_F(AServerBook, ExpectsOfAServerThatItHasNotSeenWhatAllServersShow)
    {
        for (std::uint64_t n = 1; n <= 60; ++n) {
            auto ticket = book.onSend(n, { work, 0, milliseconds(100), 1.0, true, memory });
            clock.advance(milliseconds(250));
            book.onFirstByte(ticket);
            book.onComplete(ticket, ServerOutcome::Succeeded);
        }
        EXPECT_NEAR(book.expectedSlowness(999, true, 1), 2.5, 0.2);
    }

    TEST_F(AServerBook, LearnsNothingFromRequestsThatTheirCallersLeft)
    {
        auto ticket = book.onSend(server, { work, 0, milliseconds(100), 1.0, true, memory });
        book.onComplete(ticket, ServerOutcome::Abandoned);
        EXPECT_EQ(book.statusOf(server).outcomeSamples, 0u);
        EXPECT_FALSE(book.statusOf(server).waitingSince);
    }

    TEST_F(AServerBook, ReplacesWhatAPeerHasInProgress)
    {
        ServerLoadSum load;
        load.requests = 5;
        book.setPeerLoads("a", { { server, load } });
        book.setPeerLoads("b", { { server, load } });
        EXPECT_EQ(book.statusOf(server).total().requests, 10);
        load.requests = 1;
        book.setPeerLoads("a", { { server, load } });
        EXPECT_EQ(book.statusOf(server).total().requests, 6);
        book.setPeerLoads("a", {});
        book.setPeerLoads("b", {});
        EXPECT_EQ(book.statusOf(server).total().requests, 0);
    }

    TEST_F(AServerBook, KnowsTheLongPromptThatAServerIsReading)
    {
        work.priority = 2;
        const auto ticket = book.onSend(server, { work, 30000, milliseconds(500), 1.0, true, memory });
        EXPECT_EQ(book.prefillTokensAhead(server, 0), 30000);
        EXPECT_EQ(book.prefillTokensAhead(server, 2), 0);
        clock.advance(milliseconds(100));
        EXPECT_LT(book.prefillTokensAhead(server, 0), 30000);
        clock.advance(seconds(5));
        EXPECT_EQ(book.prefillTokensAhead(server, 0), 0);
        EXPECT_FALSE(ticket.firstByteSeen);
    }

    TEST_F(AServerBook, TakesTheLongestPromptThatPeersTellOf)
    {
        book.setPeerPrefill("a", server, { 9000, 1, clock.now() });
        book.setPeerPrefill("b", server, { 20000, 1, clock.now() });
        EXPECT_EQ(book.prefillTokensAhead(server, 0), 20000);
        clock.advance(seconds(2));
        EXPECT_EQ(book.prefillTokensAhead(server, 0), 0);
    }

    TEST_F(AServerBook, StartsAnewForAServerThatIsCleared)
    {
        for (int n = 0; n < 10; ++n) {
            auto ticket = book.onSend(server, { work, 0, milliseconds(100), 1.0, true, memory });
            book.onComplete(ticket, ServerOutcome::Lost);
        }
        book.markSuspect(server);
        EXPECT_GT(book.statusOf(server).failureShare, 0.5);
        book.clearSuspect(server);
        EXPECT_FALSE(book.statusOf(server).suspect);
        EXPECT_DOUBLE_EQ(book.statusOf(server).failureShare, 0.0);
    }

    struct APrefixMemory : testing::Test {
        PrefixCacheEstimator memory { 10000 };
        const std::vector<PromptPart> first { { 1, 500 }, { 2, 3000 }, { 3, 1000 } };
        const std::vector<PromptPart> second { { 1, 500 }, { 4, 3000 }, { 3, 1000 } };
    };

    TEST_F(APrefixMemory, HoldsPartsOnlyBehindTheSamePartsBefore)
    {
        memory.onPrefill(first);
        EXPECT_EQ(memory.cachedTokens(first), 4500u);
        EXPECT_EQ(memory.cachedTokens(second), 500u);
    }

    TEST_F(APrefixMemory, DropsTheLeastRecentlyUsedBeyondItsBound)
    {
        memory.onPrefill(first);
        memory.onPrefill(second);
        const std::vector<PromptPart> third { { 9, 8000 } };
        memory.onPrefill(third);
        EXPECT_EQ(memory.cachedTokens(third), 8000u);
        EXPECT_EQ(memory.cachedTokens(first), 0u);
    }

} // namespace
} // namespace yuccashift
