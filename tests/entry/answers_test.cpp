#include "yuccashift/entry/directory_choice.hpp"
#include "yuccashift/entry/failure_answer.hpp"
#include "yuccashift/entry/forwarding.hpp"
#include "yuccashift/entry/graceful_shutdown.hpp"
#include "yuccashift/entry/hop.hpp"
#include "yuccashift/entry/region_demand_estimator.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace yuccashift {
namespace {

    struct AFailureAnswer : testing::Test {
        SeededRandom random { 11 };

        double retryDelay(const Error& error, Duration left)
        {
            const auto answer = failureAnswer(error, left, random);
            return std::stod(std::string(findHeader(answer.head.headers, "Retry-After").value_or("-1")));
        }
    };

    TEST_F(AFailureAnswer, UsesNotRunStatusesOnlyIfTheRequestHasNotRun)
    {
        for (const auto& row : errorTable()) {
            for (const auto state : { RunState::NotRun, RunState::Ran, RunState::OutcomeUnknown }) {
                const Error error { row.kind, {}, state, {} };
                const auto status = failureAnswer(error, seconds(3), random).head.status;
                const bool impliesNotRun = status == 408 || status == 421 || status == 429 || status == 503;
                EXPECT_TRUE(!impliesNotRun || state == RunState::NotRun) << row.code;
            }
        }
    }

    TEST_F(AFailureAnswer, SpreadsRetriesOverTheTimeThatCallersWait)
    {
        double shortest = 100;
        double longest = 0;
        for (int n = 0; n < 200; ++n) {
            const auto wait = retryDelay({ ErrorKind::Overloaded, {}, {}, {} }, seconds(15));
            shortest = std::min(shortest, wait);
            longest = std::max(longest, wait);
        }
        EXPECT_GT(shortest, 1.5);
        EXPECT_LT(longest, 15.0 / 3);
        EXPECT_GT(longest - shortest, 1.5);
    }

    TEST_F(AFailureAnswer, KeepsTheRetryDelayShorterThanTheTimeLeft)
    {
        EXPECT_LT(retryDelay({ ErrorKind::Overloaded, {}, {}, {} }, milliseconds(900)), 0.3);
    }

    TEST_F(AFailureAnswer, LetsCallersOfADrainingInstanceRetrySoon)
    {
        for (int n = 0; n < 200; ++n)
            EXPECT_LE(retryDelay({ ErrorKind::Draining, {}, {}, {} }, seconds(15)), 0.2);
    }

    // Two instances of a region restart at overlapping times, so callers find no other instance of their region in the directory.
    TEST(AGracefulShutdown, RefusesOnlyLateRequestsThatMayNotFinishBeforeItsEnd)
    {
        const Instant began { seconds(100) };
        const GracefulShutdown stop { began, began + milliseconds(7600), began + seconds(3) };
        EXPECT_FALSE(stop.mustRefuse(began + seconds(2), began + seconds(17)));
        EXPECT_TRUE(stop.mustRefuse(began + seconds(4), began + seconds(19)));
        EXPECT_FALSE(stop.mustRefuse(began + seconds(4), began + seconds(7)));
        // A short grace may end before the answers of the directory have expired.
        const GracefulShutdown shortStop { began, began + milliseconds(1900), began + seconds(3) };
        EXPECT_FALSE(shortStop.mustRefuse(began + seconds(1), began + seconds(17)));
        EXPECT_TRUE(shortStop.mustRefuse(began + seconds(2), began + seconds(17)));
    }

    TEST_F(AFailureAnswer, DoesNotReportFleetFailuresAsCallerErrors)
    {
        EXPECT_EQ(failureAnswer({ ErrorKind::Quarantined, {}, {}, {} }, seconds(3), random).head.status, 503);
        EXPECT_EQ(failureAnswer({ ErrorKind::UnknownRoute, {}, {}, {} }, seconds(3), random).head.status, 404);
    }

    TEST(HopHeaders, SurviveARoundTripAndAreRemovedFromTheRequest)
    {
        HopMetadata order { "sofia-1", 12, "draft", milliseconds(900), milliseconds(400), "17", 4000000000U, milliseconds(250), softwareIdOf("draft", "v1"), "clinic" };
        std::string text;
        appendHopMetadata(text, order);
        HeaderFields headers { { "Host", "a.example" } };
        for (std::size_t at = 0; at < text.size();) {
            const auto end = text.find("\r\n", at);
            const auto colon = text.find(": ", at);
            headers.push_back({ text.substr(at, colon - at), text.substr(colon + 2, end - colon - 2) });
            at = end + 2;
        }
        const auto extracted = extractHopMetadata(headers);
        ASSERT_TRUE(extracted);
        EXPECT_EQ(extracted->origin, "sofia-1");
        EXPECT_EQ(extracted->configVersion, 12);
        EXPECT_EQ(extracted->service, "draft");
        EXPECT_EQ(extracted->deadline, milliseconds(900));
        EXPECT_EQ(extracted->objective, milliseconds(400));
        EXPECT_EQ(extracted->resumeAfter, "17");
        EXPECT_EQ(extracted->server, 4000000000U);
        EXPECT_EQ(extracted->acceptWithin, milliseconds(250));
        EXPECT_EQ(extracted->streamSoftware, softwareIdOf("draft", "v1"));
        EXPECT_EQ(extracted->organisation, "clinic");
        EXPECT_EQ(headers.size(), 1u);
    }

    TEST(HopHeaders, NameTheSoftwareOfTheServerToInstancesAndNotToCallers)
    {
        AnswerHead head { 200, { { "Content-Type", "text/event-stream" } }, {} };
        EXPECT_EQ(decodeServerSoftware(head), 0u);
        for (const auto software : { softwareIdOf("draft", "v1"), ~SoftwareId { 0 } }) {
            auto named = head;
            named.headers.push_back(encodeServerSoftware(software));
            EXPECT_EQ(decodeServerSoftware(named), software);
            EXPECT_EQ(forwardedHead(named).headers.size(), 1u);
        }
    }

    TEST(HopHeaders, AreRejectedIfIncompleteOrMalformed)
    {
        HeaderFields headers { { "Yuccashift-Origin", "a" }, { "Yuccashift-Config", "x" } };
        EXPECT_FALSE(extractHopMetadata(headers));
    }

    TEST(HopHeaders, NameTimesThatCanBeAddedToTheClocks)
    {
        for (const std::string_view count : { "9223372036854775807", "-9223372036854775808" }) {
            HeaderFields headers { { "Yuccashift-Origin", "a" }, { "Yuccashift-Config", "1" }, { "Yuccashift-Service", "draft" } };
            for (const auto* name : { "Yuccashift-Deadline", "Yuccashift-Objective", "Yuccashift-Accept-Within" })
                headers.push_back({ name, std::string(count) });
            const auto metadata = extractHopMetadata(headers);
            ASSERT_TRUE(metadata);
            for (const auto time : { metadata->deadline, metadata->objective, *metadata->acceptWithin }) {
                EXPECT_GE(time, milliseconds(0));
                EXPECT_LE(time, std::chrono::hours(24));
            }
        }
    }

    TEST(AHopFailure, PreservesTheRunStateAndWhetherAServerWasReached)
    {
        for (const auto state : { RunState::NotRun, RunState::Ran, RunState::OutcomeUnknown }) {
            for (const bool reachedServer : { false, true }) {
                AnswerHead head;
                head.headers.push_back(encodeHopFailure({ { ErrorKind::Overloaded, {}, state, {} }, reachedServer }));
                const auto failure = decodeHopFailure(head);
                ASSERT_TRUE(failure);
                EXPECT_EQ(failure->error.kind, ErrorKind::Overloaded);
                EXPECT_EQ(failure->error.effectiveRunState(), state);
                EXPECT_EQ(failure->reachedServer, reachedServer);
            }
        }
        EXPECT_FALSE(decodeHopFailure(AnswerHead()));
    }

    struct ADirectoryAnswer : testing::Test {
        DirectoryView view { { "sofia", "hall", "10.0.0.1", true }, { { "sofia", "annex", "10.0.0.2", true }, { "varna", "port", "10.0.0.3", true }, { "plovdiv", "old", "10.0.0.4", true } } };
        SeededRandom random { 3 };
        RegionDemandEstimator demand;
        RouteConfig config;

        std::vector<std::string> named()
        {
            return chooseAddresses(
                view, { "sofia", "hall" }, [this](const RegionName& region) { return demand.servableShare(region, config); }, 80, random);
        }
        void addInstances(int count, const DatacentreName& datacentre)
        {
            for (int n = 0; n < count; ++n)
                view.others.push_back({ "sofia", datacentre, datacentre + std::to_string(n), true });
        }
    };

    TEST_F(ADirectoryAnswer, NamesInstancesOfTheCallersRegion)
    {
        EXPECT_EQ(named(), (std::vector<std::string> { "10.0.0.2:80", "10.0.0.1:80" }));
    }

    TEST_F(ADirectoryAnswer, StaysInTheCallersDataCentreIfItHasManyInstances)
    {
        addInstances(6, "hall");
        EXPECT_EQ(named().size(), 8u);
        addInstances(1, "hall");
        EXPECT_EQ(named().size(), 8u);
        EXPECT_EQ(std::ranges::count(named(), "10.0.0.2:80"), 0);
    }

    // Hundreds of instances in a region, of which an answer names a part.
    TEST_F(ADirectoryAnswer, NamesEachOfManyInstancesEquallyOften)
    {
        addInstances(127, "hall");
        std::map<std::string, int> times;
        for (int n = 0; n < 400; ++n) {
            const auto addresses = named();
            ASSERT_EQ(addresses.size(), 64u);
            for (const auto& it : addresses)
                ++times[it];
        }
        ASSERT_EQ(times.size(), 128u);
        // Five standard deviations around half of the answers.
        for (const auto& [address, count] : times)
            EXPECT_NEAR(count, 200, 50) << address;
    }

    TEST_F(ADirectoryAnswer, OmitsInstancesThatDoNotAcceptCallers)
    {
        view.self.takesCallers = false;
        EXPECT_EQ(named(), (std::vector<std::string> { "10.0.0.2:80" }));
    }

    // During a rolling replacement, an instance has restarted as the only one of its region and has not seen any request yet.
    TEST_F(ADirectoryAnswer, UsesTheRoutesUntilRequestsHaveBeenSeen)
    {
        Route bound;
        bound.homeRegions = { "sofia", "plovdiv" };
        config.routes = { Route {}, bound };
        view.self.takesCallers = false;
        view.others[0].takesCallers = false;
        EXPECT_EQ(named(), (std::vector<std::string> { "10.0.0.4:80" }));
    }

    // The instances of a region stop one after another, faster than they restart.
    TEST_F(ADirectoryAnswer, FallsBackToTheRegionThatMayServeMost)
    {
        view.self.takesCallers = false;
        view.others[0].takesCallers = false;
        EXPECT_EQ(named().size(), 2u);
        Route bound;
        bound.homeRegions = { "sofia", "plovdiv" };
        for (int n = 0; n < 50; ++n)
            demand.onRequest({ bound, nullptr });
        Route idle;
        idle.homeRegions = { "varna" };
        demand.onRequest({ idle, nullptr });
        EXPECT_EQ(named(), (std::vector<std::string> { "10.0.0.4:80" }));
    }

    // Callers of an organisation that is bound to regions are sent where it may be served, whatever the routes allow.
    TEST_F(ADirectoryAnswer, CountsTheRegionsOfOrganisationsToo)
    {
        view.self.takesCallers = false;
        view.others[0].takesCallers = false;
        OrganisationSpec bound;
        bound.residency = { "plovdiv" };
        config.organisations = { bound };
        EXPECT_EQ(named(), (std::vector<std::string> { "10.0.0.4:80" }));
    }

    // All instances of a region had lost their links to its servers and forwarded to other regions until these links failed too.
    TEST_F(ADirectoryAnswer, NamesAnotherRegionWhileNoInstanceOfTheCallersOneReachesAServer)
    {
        view.self.reachesServers = false;
        EXPECT_EQ(named().size(), 2u) << "one of them reaches servers for the other";
        view.others[0].reachesServers = false;
        EXPECT_EQ(named(), (std::vector<std::string> { "10.0.0.3:80", "10.0.0.4:80" }));
        view.others[1].reachesServers = false;
        EXPECT_EQ(named(), (std::vector<std::string> { "10.0.0.4:80" }));
        view.others[2].reachesServers = false;
        EXPECT_EQ(named(), (std::vector<std::string> { "10.0.0.2:80", "10.0.0.1:80" }));
    }

    TEST_F(ADirectoryAnswer, IsEmptyIfNoInstanceAcceptsCallers)
    {
        view.self.takesCallers = false;
        for (auto& it : view.others)
            it.takesCallers = false;
        EXPECT_TRUE(named().empty());
    }

} // namespace
} // namespace yuccashift
