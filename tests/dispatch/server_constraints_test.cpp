#include "yuccashift/dispatch/server_constraints.hpp"

#include <gtest/gtest.h>
#include <string>

namespace yuccashift {
namespace {

    constexpr std::uint64_t server = 7;

    struct ARateLimit : testing::Test {
        VirtualClock clock;
        ServerConstraints constraints { clock };
    };

    TEST_F(ARateLimit, HoldsFromTheAnswerThatNamesItToOneThatDoesNot)
    {
        EXPECT_TRUE(constraints.maySend(server, 0));
        constraints.onAnswer(server, { 2.0 });
        EXPECT_EQ(constraints.rateLimit(server), 2.0);
        EXPECT_FALSE(constraints.maySend(server, 2));
        clock.advance(milliseconds(500));
        EXPECT_TRUE(constraints.maySend(server, 2));
        EXPECT_FALSE(constraints.maySend(server, 0));
        constraints.onAnswer(server, {});
        EXPECT_TRUE(constraints.maySend(server, 0));
    }

    struct ABrittleServer : ARateLimit {
        static ServerStatement bears(double rejections)
        {
            ServerStatement statement;
            statement.bearableRejections = rejections;
            return statement;
        }
    };

    TEST_F(ABrittleServer, IsOneFromTheAnswerThatSaysSoToOneThatDoesNot)
    {
        EXPECT_FALSE(constraints.bearableRejections(server));
        constraints.onAnswer(server, bears(3));
        EXPECT_EQ(constraints.bearableRejections(server), 3.0);
        EXPECT_TRUE(constraints.maySend(server, 0));
        constraints.onAnswer(server, {});
        EXPECT_FALSE(constraints.bearableRejections(server));
    }

    TEST_F(ABrittleServer, IsKnownToInstancesThatItHasNotAnswered)
    {
        ServerConstraints other(clock);
        constraints.onAnswer(server, bears(3));
        clock.advance(milliseconds(100));
        for (const auto& report : constraints.reports())
            other.onReport(report);
        EXPECT_EQ(other.bearableRejections(server), 3.0);
        constraints.onAnswer(server, {});
        clock.advance(milliseconds(100));
        for (const auto& report : constraints.reports())
            other.onReport(report);
        EXPECT_FALSE(other.bearableRejections(server));
    }

    TEST_F(ARateLimit, SpacesRequestsByTheShareOfTheInstance)
    {
        constraints.onAnswer(server, { 4.0 });
        int sent = 0;
        for (int n = 0; n < 1000; ++n) {
            clock.advance(milliseconds(10));
            if (!constraints.maySend(server, 1.5))
                continue;
            constraints.onSend(server);
            ++sent;
        }
        EXPECT_GE(sent, 13);
        EXPECT_LE(sent, 15);
    }

    TEST_F(ARateLimit, IsTakenFromTheNewestStatement)
    {
        constraints.onAnswer(server, { 2.0 });
        clock.advance(seconds(1));
        constraints.onReport({ server, {}, seconds(2) });
        EXPECT_EQ(constraints.rateLimit(server), 2.0);
        constraints.onReport({ server, {}, milliseconds(100) });
        EXPECT_FALSE(constraints.rateLimit(server));
        constraints.onReport({ server, { 3.0 }, milliseconds(500) });
        EXPECT_FALSE(constraints.rateLimit(server));
        constraints.onReport({ server, { 3.0 }, {} });
        EXPECT_EQ(constraints.rateLimit(server), 3.0);
    }

    TEST_F(ARateLimit, IsReportedByTheInstanceThatLearnedItFromAnAnswer)
    {
        constraints.onReport({ 8, { 1.0 }, {} });
        constraints.onAnswer(server, { 2.0 });
        ASSERT_EQ(constraints.reports().size(), 1u);
        EXPECT_EQ(constraints.reports()[0].server, server);
        constraints.onAnswer(server, {});
        ASSERT_EQ(constraints.reports().size(), 1u);
        EXPECT_FALSE(constraints.reports()[0].statement.requestsPerSecond);
        clock.advance(seconds(11));
        EXPECT_TRUE(constraints.reports().empty());
        EXPECT_EQ(constraints.rateLimit(8), 1.0);
        constraints.remove(8);
        EXPECT_EQ(constraints.rateLimit(8), 1.0);
        clock.advance(std::chrono::minutes(6));
        constraints.remove(9);
        EXPECT_FALSE(constraints.rateLimit(8));
    }

    TEST_F(ARateLimit, FillsHeartbeatsWithABoundedNumberOfReports)
    {
        for (std::uint64_t n = 0; n < 1000; ++n)
            constraints.onAnswer(n, { 1.0 });
        EXPECT_LE(constraints.reports().size(), 50u);
    }

    struct ADeparture : ARateLimit {
        const ServerStatement leaving { {}, true, {} };
    };

    TEST_F(ADeparture, IsNewsOnceAndHoldsWhateverLaterAnswersSay)
    {
        EXPECT_FALSE(constraints.isLeaving(server));
        EXPECT_TRUE(constraints.onAnswer(server, leaving));
        EXPECT_FALSE(constraints.onAnswer(server, leaving));
        EXPECT_FALSE(constraints.onAnswer(server, {}));
        constraints.onReport({ server, {}, {} });
        EXPECT_TRUE(constraints.isLeaving(server));
    }

    TEST_F(ADeparture, IsRememberedWhileTheServersEntryIsMissing)
    {
        constraints.onAnswer(server, leaving);
        constraints.remove(server);
        clock.advance(seconds(30));
        EXPECT_TRUE(constraints.isLeaving(server));
        EXPECT_TRUE(constraints.reports().empty());
    }

    TEST_F(ADeparture, IsLearnedFromOtherInstances)
    {
        constraints.onReport({ server, leaving, seconds(20) });
        EXPECT_TRUE(constraints.isLeaving(server));
        EXPECT_TRUE(constraints.reports().empty());
    }

    TEST_F(ARateLimit, AndARestOfTheSameServerEndIndependently)
    {
        constraints.onAnswer(server, { 2.0, false, seconds(3) });
        EXPECT_EQ(constraints.restFor(server), seconds(3));
        clock.advance(seconds(1));
        // A shorter rest named later, and a report of another instance, do not shorten it.
        constraints.onAnswer(server, { 2.0, false, seconds(1) });
        constraints.onReport({ server, { {}, false, milliseconds(500) }, seconds(9) });
        EXPECT_EQ(constraints.restFor(server), seconds(2));
        EXPECT_EQ(constraints.reports()[0].statement.restFor, seconds(2));
        clock.advance(seconds(2));
        EXPECT_EQ(constraints.restFor(server), Duration::zero());
        EXPECT_EQ(constraints.rateLimit(server), 2.0);
    }

    // The sum of the shares, and of one request that each may send at any time, stays within what a limit bears.
    TEST(SharesOfARateLimit, AddUpToLessThanTheLimit)
    {
        std::vector<InstanceId> active;
        for (std::size_t n = 1; n <= 60; ++n) {
            active.push_back("i" + std::to_string(n));
            for (const double limit : { 0.0, 0.3, 1.0, 5.0, 40.0, 1000.0 }) {
                double sum = 0;
                std::size_t participants = 0;
                for (const auto& self : active) {
                    const auto share = shareOfRateLimit(limit, server, { self, active, n });
                    sum += share;
                    participants += share > 0 ? 1 : 0;
                }
                EXPECT_GT(participants, 0u);
                EXPECT_LE(sum, std::max(0.05, limit));
                EXPECT_LE(static_cast<double>(participants), 2 + limit);
            }
        }
    }

    TEST(SharesOfARateLimit, DoNotGrowWhileInstancesAreSilent)
    {
        const std::vector<InstanceId> active { "i1" };
        EXPECT_LE(shareOfRateLimit(6, server, { active[0], active, 3 }), 2);
    }

} // namespace
} // namespace yuccashift
