#include "yuccashift/dispatch/crash_book.hpp"
#include "yuccashift/dispatch/repeat_allowance.hpp"

#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace yuccashift {
namespace {

    struct ARepeatAllowance : testing::Test {
        VirtualClock clock;
        RepeatBound bound { 0.2, seconds(10), 50 };
    };

    // Pattern: every first send fails for ten seconds, at instances that do not hear each other.
    TEST_F(ARepeatAllowance, KeepsTheSumOverAllInstancesUnderTheBoundThoughTheyDoNotHearEachOther)
    {
        constexpr std::size_t instances = 10;
        constexpr int requests = 400;
        std::vector<std::unique_ptr<RepeatAllowance>> allowances;
        for (std::size_t n = 0; n < instances; ++n) {
            allowances.push_back(std::make_unique<RepeatAllowance>(clock, bound));
            allowances.back()->setInstances(instances);
        }
        int repeats = 0;
        for (int n = 0; n < requests; ++n) {
            auto& allowance = *allowances[n % instances];
            allowance.onRequest("draft");
            repeats += allowance.tryRepeat("draft") ? 1 : 0;
            repeats += allowance.tryRepeat("draft") ? 1 : 0;
        }
        EXPECT_LE(repeats, bound.ratio * requests + bound.slack);
        EXPECT_GE(repeats, bound.ratio * requests / 2);
    }

    TEST_F(ARepeatAllowance, ForgetsWhatIsOlderThanTheWindow)
    {
        RepeatAllowance allowance(clock, bound);
        while (allowance.tryRepeat("draft")) { }
        EXPECT_FALSE(allowance.tryRepeat("draft"));
        clock.advance(seconds(11));
        EXPECT_TRUE(allowance.tryRepeat("draft"));
    }

    TEST_F(ARepeatAllowance, KeepsServicesApart)
    {
        RepeatAllowance allowance(clock, bound);
        while (allowance.tryRepeat("draft")) { }
        EXPECT_TRUE(allowance.tryRepeat("ledger"));
    }

    struct ACrashBook : testing::Test {
        VirtualClock clock;
        CrashBook book { clock };
    };

    TEST_F(ACrashBook, BlocksARequestAfterThreeServersDiedUnderIt)
    {
        book.onDeath(7, 1);
        book.onDeath(7, 2);
        book.onDeath(7, 2);
        EXPECT_FALSE(book.blocked(7));
        book.onDeath(7, 3);
        EXPECT_TRUE(book.blocked(7));
        EXPECT_FALSE(book.blocked(8));
    }

    TEST_F(ACrashBook, CountsDeathsThatOtherInstancesSaw)
    {
        book.onDeath(7, 1);
        book.setPeerDeaths("a", { { 7, 1 } });
        book.setPeerDeaths("b", { { 7, 1 } });
        EXPECT_TRUE(book.blocked(7));
        book.setPeerDeaths("b", {});
        EXPECT_FALSE(book.blocked(7));
    }

    TEST_F(ACrashBook, ForgetsAfterAMinute)
    {
        for (std::uint64_t server = 1; server <= 3; ++server)
            book.onDeath(7, server);
        EXPECT_TRUE(book.blocked(7));
        clock.advance(seconds(61));
        EXPECT_FALSE(book.blocked(7));
        book.onDeath(9, 1);
        EXPECT_FALSE(book.blocked(7));
    }

} // namespace
} // namespace yuccashift
