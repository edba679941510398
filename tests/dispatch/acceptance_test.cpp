#include "yuccashift/dispatch/acceptance.hpp"
#include "yuccashift/dispatch/prompt_demand.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <string>

namespace yuccashift {
namespace {

    constexpr auto urgent = acceptanceLevel(0, false);
    constexpr auto lessUrgent = acceptanceLevel(2, false);
    const ServiceName engines = "engines";

    PromptLoads demandOf(double urgentLoad, double lessUrgentLoad)
    {
        PromptLoads loads {};
        loads[urgent] = urgentLoad;
        loads[lessUrgent] = lessUrgentLoad;
        return loads;
    }

    // Guards against streams that make no tokens for seconds, because their engines read the prompts of a crowd without end.
    TEST(AcceptanceOfPrompts, LeavesTimeOfEachEngineToTheStreams)
    {
        EXPECT_LT(roomForPrompts(30), 25);
        EXPECT_GT(roomForPrompts(30), 15);
    }

    TEST(AcceptanceOfPrompts, TakesAllWhileThereIsRoom)
    {
        const auto shares = acceptedShares(demandOf(8, 6), 15);
        EXPECT_EQ(shares[urgent], 1);
        EXPECT_EQ(shares[lessUrgent], 1);
    }

    TEST(AcceptanceOfPrompts, ShrinksABurstOfALessUrgentKindBeforeMoreUrgentOnesSuffer)
    {
        const auto shares = acceptedShares(demandOf(10, 40), 20);
        EXPECT_EQ(shares[urgent], 1);
        EXPECT_DOUBLE_EQ(shares[lessUrgent], 0.25);
    }

    TEST(AcceptanceOfPrompts, NeverLetsALessUrgentKindPassAMoreUrgentOne)
    {
        for (double room = 0; room < 60; room += 3) {
            const auto shares = acceptedShares(demandOf(20, 30), room);
            for (std::size_t level = 1; level < acceptanceLevels; ++level)
                EXPECT_LE(shares[level], shares[level - 1]) << room;
        }
    }

    TEST(AcceptanceOfPrompts, TakesCallersWhoComeBackAsToldBeforeNewOnesOfTheirPriority)
    {
        PromptLoads demand {};
        demand[acceptanceLevel(2, true)] = 5;
        demand[acceptanceLevel(2, false)] = 10;
        auto shares = acceptedShares(demand, 5);
        EXPECT_DOUBLE_EQ(shares[acceptanceLevel(2, true)], 0.5);
        EXPECT_DOUBLE_EQ(shares[acceptanceLevel(2, false)], 0.25);
        shares = acceptedShares(demand, 12);
        EXPECT_EQ(shares[acceptanceLevel(2, true)], 1);
        EXPECT_DOUBLE_EQ(shares[acceptanceLevel(2, false)], 0.7);
    }

    // Guards against a long shortage in which all are refused at first and served late.
    TEST(AcceptanceOfPrompts, ServesNewCallersInTimeThoughOthersComeBack)
    {
        PromptLoads demand {};
        demand[urgent] = 12;
        demand[acceptanceLevel(0, true)] = 12;
        EXPECT_GT(acceptedShares(demand, 10)[urgent], 0.25);
    }

    // An engine lost, or none known yet, is no reason to lose a request without demand before it.
    TEST(AcceptanceOfPrompts, RefusesNobodyBeforeAnythingWasAskedFor)
    {
        for (const auto share : acceptedShares({}, 0))
            EXPECT_EQ(share, 1);
    }

    // A prompt of fifty thousand tokens takes far more than ten times as long as one of five thousand.
    TEST(AcceptanceOfPrompts, CountsTheAttentionOfLongPrompts)
    {
        EXPECT_GT(promptTime(50000, 0), 15 * promptTime(5000, 0));
        EXPECT_LT(promptTime(12000, 6000), promptTime(12000, 0));
        EXPECT_EQ(promptTime(500, 800), Duration::zero());
    }

    TEST(ARefusedCaller, ComesBackWithinItsObjectiveWhereItWillBeServed)
    {
        const auto back = returnTime(0.8, seconds(1), seconds(15));
        EXPECT_LE(back.latest, milliseconds(500));
        EXPECT_LT(back.earliest, back.latest);
    }

    // Guards against callers who come back into the same crowd at once, and are refused for good.
    TEST(ARefusedCaller, WaitsAsLongAsCallersDoWhileRoomIsNotInSight)
    {
        const auto back = returnTime(0.1, seconds(1), seconds(15));
        EXPECT_GT(back.earliest, seconds(1));
        EXPECT_LT(back.latest, seconds(5));
    }

    TEST(ARefusedCaller, IsKnownWhenItComesBackAsToldButNotWhenItRepeatsAtOnce)
    {
        const auto back = returnTime(0.8, seconds(1), seconds(15));
        EXPECT_TRUE(comesBackAsTold(seconds(15), seconds(15) - back.earliest, seconds(1)));
        EXPECT_FALSE(comesBackAsTold(seconds(15), seconds(15) - milliseconds(20), seconds(1)));
    }

    struct DemandForPrompts : testing::Test {
        VirtualClock clock;
        PromptDemand demand { clock };

        /** @param load prompts a second in engines */
        void arrive(double load, Duration time)
        {
            for (Duration passed {}; passed < time; passed += milliseconds(10)) {
                clock.advance(milliseconds(10));
                demand.record(engines, lessUrgent, std::chrono::duration_cast<Duration>(load * milliseconds(10)));
            }
        }
    };

    TEST_F(DemandForPrompts, FollowsACrowdWithinSecondsAndForgetsItAsFast)
    {
        arrive(4, seconds(3));
        EXPECT_NEAR(demand.own(engines)[lessUrgent], 4, 0.3);
        arrive(12, seconds(2));
        EXPECT_NEAR(demand.own(engines)[lessUrgent], 12, 1.2);
        clock.advance(seconds(10));
        EXPECT_TRUE(demand.own().empty());
    }

    TEST_F(DemandForPrompts, SumsWhatAllInstancesOfTheRegionReport)
    {
        arrive(2, seconds(4));
        demand.setPeer("b", { { engines, demandOf(1, 3) } });
        demand.setPeer("c", { { engines, demandOf(0, 5) } });
        EXPECT_NEAR(demand.total(engines)[lessUrgent], 10, 0.2);
        EXPECT_NEAR(demand.total(engines)[urgent], 1, 0.01);
    }

    // The callers of an instance that was killed are at others soon, and would count twice.
    TEST_F(DemandForPrompts, ForgetsAnInstanceThatFellSilent)
    {
        demand.setPeer("b", { { engines, demandOf(7, 0) } });
        clock.advance(milliseconds(1500));
        EXPECT_EQ(demand.total(engines)[urgent], 7);
        clock.advance(seconds(1));
        EXPECT_EQ(demand.total(engines)[urgent], 0);
    }

    TEST_F(DemandForPrompts, CountsOnlyItsOwnWhenItHearsNobody)
    {
        arrive(1, seconds(4));
        EXPECT_NEAR(demand.total(engines)[lessUrgent], 1, 0.1);
    }

    /** A pressed region sends what it cannot take to another one, which reports its share with the delay of heartbeats. */
    double swingOfShare(double sentElsewhere, double room, std::size_t delaySteps)
    {
        std::deque<double> reported(delaySteps + 1, 1.0);
        double demand = 0;
        double least = 1;
        double most = 0;
        constexpr int steps = 400;
        for (int n = 0; n < steps; ++n) {
            const auto offered = sentElsewhere * offeredShare(reported.front());
            // A tenth of a second of the memory of demand.
            demand += (offered - demand) * 0.12;
            const auto share = acceptedShares(demandOf(0, demand), room)[lessUrgent];
            reported.pop_front();
            reported.push_back(share);
            if (n < steps / 2)
                continue;
            least = std::min(least, share);
            most = std::max(most, share);
        }
        return most - least;
    }

    // Guards against instances of a pressed region that all send to another one until it is full, then all stop, and so on.
    TEST(RequestsSentToAnotherRegion, SettleThoughItsReportsAreOld)
    {
        for (const double load : { 12.0, 20.0, 40.0, 80.0 }) {
            for (const std::size_t delay : { 1U, 3U, 6U, 10U })
                EXPECT_LT(swingOfShare(load, 10, delay), 0.05) << load << " engines' time offered to 10, reports " << delay * 100 << " ms old";
        }
    }

} // namespace
} // namespace yuccashift
