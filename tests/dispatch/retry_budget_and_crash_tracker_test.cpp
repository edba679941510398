#include "yuccashift/dispatch/crash_tracker.hpp"
#include "yuccashift/dispatch/fleet_retry_budget.hpp"

#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace yuccashift {
namespace {

    struct ARepeatAllowance : testing::Test {
        VirtualClock clock;
        RetryBudgetLimits bound { 0.2, seconds(10), 50 };
    };

    // Pattern: every first send fails for ten seconds, at instances that do not hear each other.
    TEST_F(ARepeatAllowance, KeepsTheSumOverAllInstancesUnderTheBoundThoughTheyDoNotHearEachOther)
    {
        constexpr std::size_t instances = 10;
        constexpr int requests = 400;
        std::vector<std::unique_ptr<FleetRetryBudget>> allowances;
        for (std::size_t n = 0; n < instances; ++n) {
            allowances.push_back(std::make_unique<FleetRetryBudget>(clock, bound));
            allowances.back()->setInstanceCount(instances);
        }
        int repeats = 0;
        for (int n = 0; n < requests; ++n) {
            auto& allowance = *allowances[n % instances];
            allowance.onRequest("draft");
            repeats += allowance.tryRetry("draft") ? 1 : 0;
            repeats += allowance.tryRetry("draft") ? 1 : 0;
        }
        EXPECT_LE(repeats, bound.ratio * requests + bound.slack);
        EXPECT_GE(repeats, bound.ratio * requests / 2);
    }

    TEST_F(ARepeatAllowance, ForgetsWhatIsOlderThanTheWindow)
    {
        FleetRetryBudget allowance(clock, bound);
        while (allowance.tryRetry("draft")) { }
        EXPECT_FALSE(allowance.tryRetry("draft"));
        clock.advance(seconds(11));
        EXPECT_TRUE(allowance.tryRetry("draft"));
    }

    TEST_F(ARepeatAllowance, KeepsServicesApart)
    {
        FleetRetryBudget allowance(clock, bound);
        while (allowance.tryRetry("draft")) { }
        EXPECT_TRUE(allowance.tryRetry("ledger"));
    }

    struct ACrashBook : testing::Test {
        VirtualClock clock;
        CrashTracker book { clock };
    };

    TEST_F(ACrashBook, BlocksARequestAfterThreeServersDiedUnderIt)
    {
        book.onServerCrash(7, 1);
        book.onServerCrash(7, 2);
        book.onServerCrash(7, 2);
        EXPECT_FALSE(book.blocked(7));
        book.onServerCrash(7, 3);
        EXPECT_TRUE(book.blocked(7));
        EXPECT_FALSE(book.blocked(8));
    }

    TEST_F(ACrashBook, CountsDeathsThatOtherInstancesSaw)
    {
        book.onServerCrash(7, 1);
        book.setPeerCrashes("a", { { 7, 1 } });
        book.setPeerCrashes("b", { { 7, 1 } });
        EXPECT_TRUE(book.blocked(7));
        book.setPeerCrashes("b", {});
        EXPECT_FALSE(book.blocked(7));
    }

    TEST_F(ACrashBook, ForgetsAfterAMinute)
    {
        for (std::uint64_t server = 1; server <= 3; ++server)
            book.onServerCrash(7, server);
        EXPECT_TRUE(book.blocked(7));
        clock.advance(seconds(61));
        EXPECT_FALSE(book.blocked(7));
        book.onServerCrash(9, 1);
        EXPECT_FALSE(book.blocked(7));
    }

} // namespace
} // namespace yuccashift
