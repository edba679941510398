#include "yuccashift/dispatch/fleet_retry_budget.hpp"

#include <array>
#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace yuccashift {
namespace {

    struct AFleetRetryBudget : testing::Test {
        VirtualClock clock;
        RetryBudgetLimits limits { 0.2, seconds(10), 50 };
    };

    // Guards against a retry storm: all first attempts fail for ten seconds, at instances that cannot reach each other.
    TEST_F(AFleetRetryBudget, KeepsTheSumOverAllInstancesUnderTheLimitWithoutCommunication)
    {
        constexpr std::size_t instances = 10;
        constexpr int requests = 400;
        std::vector<std::unique_ptr<FleetRetryBudget>> budgets;
        for (std::size_t n = 0; n < instances; ++n) {
            budgets.push_back(std::make_unique<FleetRetryBudget>(clock, limits));
            budgets.back()->setInstanceCount(instances);
        }
        int retries = 0;
        for (int n = 0; n < requests; ++n) {
            auto& budget = *budgets[n % instances];
            budget.onRequest("draft");
            retries += budget.tryRetry("draft") ? 1 : 0;
            retries += budget.tryRetry("draft") ? 1 : 0;
        }
        EXPECT_LE(retries, limits.ratio * requests + limits.slack);
        EXPECT_GE(retries, limits.ratio * requests / 2);
    }

    /** Budgets of a fleet that fail every request from one moment on. */
    struct BudgetsOfAFleet : AFleetRetryBudget {
        static constexpr std::size_t instances = 66;

        BudgetsOfAFleet()
        {
            limits.slack = 172;
            for (std::size_t n = 0; n < instances; ++n)
                restart(n);
        }

        void restart(std::size_t n)
        {
            budgets[n] = std::make_unique<FleetRetryBudget>(clock, limits);
            // An instance that has heard nobody reckons with a few others.
            budgets[n]->setInstanceCount(4);
        }
        void hear(std::size_t others)
        {
            for (auto& it : budgets)
                it->setInstanceCount(others + 4);
        }
        int retryUntilRefused(std::size_t n)
        {
            int retries = 0;
            while (budgets[n]->tryRetry("draft"))
                ++retries;
            return retries;
        }
        int retryEverywhere()
        {
            int retries = 0;
            for (std::size_t n = 0; n < instances; ++n)
                retries += retryUntilRefused(n);
            return retries;
        }

        std::array<std::unique_ptr<FleetRetryBudget>, instances> budgets;
    };

    // Guards against instances that start together and each take a large part of the slack before they hear of the others.
    TEST_F(BudgetsOfAFleet, StayUnderTheLimitInSumWhenAllInstancesStartAtOnce)
    {
        EXPECT_LE(retryEverywhere(), limits.slack);
    }

    // Guards against regions that forget each other during a long partition and then each use the whole slack.
    TEST_F(BudgetsOfAFleet, StayUnderTheLimitInSumWhenRegionsForgetEachOther)
    {
        hear(instances - 1);
        clock.advance(seconds(60));
        hear(instances / 3 - 1);
        EXPECT_LE(retryEverywhere(), limits.slack);
    }

    // Guards against a restart that lets an instance use its part a second time within one window.
    TEST_F(BudgetsOfAFleet, StayUnderTheLimitInSumWhenInstancesRestartInTurn)
    {
        hear(instances - 1);
        clock.advance(seconds(60));
        int retries = 0;
        for (std::size_t n = 0; n < instances; ++n) {
            retries += retryUntilRefused(n);
            restart(n);
            budgets[n]->setInstanceCount(instances + 3);
            retries += retryUntilRefused(n);
        }
        EXPECT_LE(retries, limits.slack);
    }

    TEST_F(AFleetRetryBudget, HasNoSlackBeforeTheFleetIsKnown)
    {
        FleetRetryBudget budget(clock, limits);
        clock.advance(seconds(60));
        EXPECT_FALSE(budget.tryRetry("draft"));
        for (int n = 0; n < 100; ++n)
            budget.onRequest("draft");
        EXPECT_TRUE(budget.tryRetry("draft"));
    }

    // At the size of the smallest deployment.
    TEST_F(AFleetRetryBudget, StaysUnderTheLimitInSumWhenAFewInstancesRestartInTurn)
    {
        constexpr int instances = 7;
        limits.slack = 54;
        int retries = 0;
        const auto spend = [&](FleetRetryBudget& budget) {
            budget.setInstanceCount(instances + 3);
            while (budget.tryRetry("draft"))
                ++retries;
        };
        std::array<std::unique_ptr<FleetRetryBudget>, instances> predecessors;
        for (auto& it : predecessors)
            it = std::make_unique<FleetRetryBudget>(clock, limits);
        clock.advance(seconds(60));
        for (auto& it : predecessors)
            spend(*it);
        std::array<std::unique_ptr<FleetRetryBudget>, instances> successors;
        for (auto& it : successors)
            it = std::make_unique<FleetRetryBudget>(clock, limits);
        clock.advance(seconds(9));
        for (auto& it : successors)
            spend(*it);
        EXPECT_LE(retries, limits.slack);
        EXPECT_GE(retries, limits.slack / 2);
    }

    TEST_F(BudgetsOfAFleet, AllowRetriesAgainOnceTheFleetIsKnown)
    {
        hear(instances - 1);
        clock.advance(seconds(60));
        EXPECT_GE(retryEverywhere(), limits.slack / 3);
    }

    TEST_F(AFleetRetryBudget, ForgetsRetriesOlderThanTheWindow)
    {
        FleetRetryBudget budget(clock, limits);
        budget.setInstanceCount(1);
        clock.advance(limits.window);
        while (budget.tryRetry("draft")) { }
        EXPECT_FALSE(budget.tryRetry("draft"));
        clock.advance(seconds(11));
        EXPECT_TRUE(budget.tryRetry("draft"));
    }

    TEST_F(AFleetRetryBudget, CountsEachServiceSeparately)
    {
        FleetRetryBudget budget(clock, limits);
        budget.setInstanceCount(1);
        clock.advance(limits.window);
        while (budget.tryRetry("draft")) { }
        EXPECT_TRUE(budget.tryRetry("ledger"));
    }

} // namespace
} // namespace yuccashift
