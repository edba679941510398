#include "yuccashift/entry/directory_choice.hpp"
#include "yuccashift/entry/failure_answer.hpp"
#include "yuccashift/entry/graceful_shutdown.hpp"
#include "yuccashift/entry/hop.hpp"
#include "yuccashift/entry/region_demand_estimator.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct AFailureAnswer : testing::Test {
        SeededRandom random { 11 };

        double returnTime(const Error& error, Duration left)
        {
            const auto answer = failureAnswer(error, left, random);
            return std::stod(std::string(findHeader(answer.head.headers, "Retry-After").value_or("-1")));
        }
    };

    TEST_F(AFailureAnswer, PromisesThatNothingRanOnlyWhereThatIsCertain)
    {
        for (const auto& row : errorTable()) {
            for (const auto state : { RunState::NotRun, RunState::Ran, RunState::OutcomeUnknown }) {
                const Error error { row.kind, {}, state, {} };
                const auto status = failureAnswer(error, seconds(3), random).head.status;
                const bool promise = status == 408 || status == 421 || status == 429 || status == 503;
                EXPECT_TRUE(!promise || state == RunState::NotRun) << row.code;
            }
        }
    }

    TEST_F(AFailureAnswer, SpreadsTheReturnOfACrowdOverTheTimeThatCallersWait)
    {
        double least = 100;
        double most = 0;
        for (int n = 0; n < 200; ++n) {
            const auto wait = returnTime({ ErrorKind::Overloaded, {}, {}, {} }, seconds(15));
            least = std::min(least, wait);
            most = std::max(most, wait);
        }
        EXPECT_GT(least, 1.5);
        EXPECT_LT(most, 15.0 / 3);
        EXPECT_GT(most - least, 1.5);
    }

    TEST_F(AFailureAnswer, DoesNotSendACallerAwayForLongerThanItWaits)
    {
        EXPECT_LT(returnTime({ ErrorKind::Overloaded, {}, {}, {} }, milliseconds(900)), 0.3);
    }

    TEST_F(AFailureAnswer, SendsCallersOfAStoppingInstanceToOthersAtOnce)
    {
        for (int n = 0; n < 200; ++n)
            EXPECT_LE(returnTime({ ErrorKind::Draining, {}, {}, {} }, seconds(15)), 0.2);
    }

    // Pattern: two restarts overlap, so that callers find no other instance of their region in the directory.
    TEST(APlannedStop, RefusesOnlyLateRequestsThatMayNotBeWholeBeforeItsEnd)
    {
        const Instant began { seconds(100) };
        const GracefulShutdown stop { began, began + milliseconds(7600), began + seconds(3) };
        EXPECT_FALSE(stop.mustRefuse(began + seconds(2), began + seconds(17)));
        EXPECT_TRUE(stop.mustRefuse(began + seconds(4), began + seconds(19)));
        EXPECT_FALSE(stop.mustRefuse(began + seconds(4), began + seconds(7)));
    }

    TEST_F(AFailureAnswer, DoesNotBlameACallerForWhatTheFleetLacks)
    {
        EXPECT_EQ(failureAnswer({ ErrorKind::Quarantined, {}, {}, {} }, seconds(3), random).head.status, 503);
        EXPECT_EQ(failureAnswer({ ErrorKind::UnknownRoute, {}, {}, {} }, seconds(3), random).head.status, 404);
    }

    TEST(AHopOrder, CrossesTheHopWholeAndLeavesNoHeaderBehind)
    {
        HopMetadata order { "sofia-1", 12, "draft", milliseconds(900), milliseconds(400), "17" };
        std::string text;
        appendHopMetadata(text, order);
        HeaderFields headers { { "Host", "a.example" } };
        for (std::size_t at = 0; at < text.size();) {
            const auto end = text.find("\r\n", at);
            const auto colon = text.find(": ", at);
            headers.push_back({ text.substr(at, colon - at), text.substr(colon + 2, end - colon - 2) });
            at = end + 2;
        }
        const auto taken = extractHopMetadata(headers);
        ASSERT_TRUE(taken);
        EXPECT_EQ(taken->origin, "sofia-1");
        EXPECT_EQ(taken->configVersion, 12);
        EXPECT_EQ(taken->service, "draft");
        EXPECT_EQ(taken->deadline, milliseconds(900));
        EXPECT_EQ(taken->objective, milliseconds(400));
        EXPECT_EQ(taken->resumeAfter, "17");
        EXPECT_EQ(headers.size(), 1u);
    }

    TEST(AHopOrder, ThatIsDamagedIsNoOrder)
    {
        HeaderFields headers { { "Yuccashift-Origin", "a" }, { "Yuccashift-Config", "x" } };
        EXPECT_FALSE(extractHopMetadata(headers));
    }

    TEST(AHopFailure, KeepsWhatIsKnownOfTheRun)
    {
        for (const auto state : { RunState::NotRun, RunState::Ran, RunState::OutcomeUnknown }) {
            AnswerHead head;
            head.headers.push_back(encodeHopFailure({ ErrorKind::Overloaded, {}, state, {} }));
            const auto error = decodeHopFailure(head);
            ASSERT_TRUE(error);
            EXPECT_EQ(error->kind, ErrorKind::Overloaded);
            EXPECT_EQ(error->effectiveRunState(), state);
        }
        EXPECT_FALSE(decodeHopFailure(AnswerHead()));
    }

    struct ADirectoryAnswer : testing::Test {
        DirectoryView view { { "sofia", "10.0.0.1", true }, { { "sofia", "10.0.0.2", true }, { "varna", "10.0.0.3", true }, { "plovdiv", "10.0.0.4", true } } };
        RegionDemandEstimator demand;
        std::vector<Route> routes;

        std::vector<std::string> named() const
        {
            return chooseAddresses(
                view, "sofia", [this](const RegionName& region) { return demand.servableShare(region, routes); }, 80);
        }
    };

    TEST_F(ADirectoryAnswer, NamesTheCallersOwnRegion)
    {
        EXPECT_EQ(named(), (std::vector<std::string> { "10.0.0.2:80", "10.0.0.1:80" }));
    }

    TEST_F(ADirectoryAnswer, LeavesOutInstancesThatStop)
    {
        view.self.takesCallers = false;
        EXPECT_EQ(named(), (std::vector<std::string> { "10.0.0.2:80" }));
    }

    // Pattern: all instances are replaced in turn; one is back, alone in its region, and has seen no request.
    TEST_F(ADirectoryAnswer, GoesByTheRoutesUntilRequestsWereSeen)
    {
        Route bound;
        bound.homeRegions = { "sofia", "plovdiv" };
        routes = { Route {}, bound };
        view.self.takesCallers = false;
        view.others[0].takesCallers = false;
        EXPECT_EQ(named(), (std::vector<std::string> { "10.0.0.4:80" }));
    }

    // Pattern: all instances of a region stop in turn, faster than they are back.
    TEST_F(ADirectoryAnswer, NamesTheRegionThatMayServeMostWhereItsOwnHasNoInstance)
    {
        view.self.takesCallers = false;
        view.others[0].takesCallers = false;
        EXPECT_EQ(named().size(), 2u);
        Route bound;
        bound.homeRegions = { "sofia", "plovdiv" };
        for (int n = 0; n < 50; ++n)
            demand.onRequest(bound);
        Route idle;
        idle.homeRegions = { "varna" };
        demand.onRequest(idle);
        EXPECT_EQ(named(), (std::vector<std::string> { "10.0.0.4:80" }));
    }

    TEST_F(ADirectoryAnswer, NamesNobodyWhereNobodyTakesCallers)
    {
        view.self.takesCallers = false;
        for (auto& it : view.others)
            it.takesCallers = false;
        EXPECT_TRUE(named().empty());
    }

} // namespace
} // namespace yuccashift
