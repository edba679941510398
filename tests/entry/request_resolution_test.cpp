#include "yuccashift/entry/request_resolution.hpp"

#include "yuccashift/kernel/hash.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct ARequest : testing::Test {
        ARequest()
        {
            Route route;
            route.name = "drafts";
            route.host = "a.example";
            route.pathPrefix = "/draft/";
            route.timeLimit = milliseconds(8000);
            route.latencyObjective = milliseconds(600);
            route.priority = 1;
            route.homeRegions = { "lagos" };
            route.services = { { "draft", 1 } };
            config.routes = { route };
            message.method = "POST";
            message.target = "/draft/x";
            message.headers = { { "Host", "a.example" } };
            metadata.deadline = milliseconds(3000);
        }

        Result<ResolvedRequest> resolve(const RegionName& region = "lagos")
        {
            return resolveRequest(message, metadata, std::make_shared<const RouteIndex>(config), region, hop ? &*hop : nullptr, arrivedAt);
        }

        RouteConfig config;
        RequestMessage message;
        RequestMetadata metadata;
        std::optional<HopMetadata> hop;
        Instant arrivedAt { seconds(100) };
    };

    TEST_F(ARequest, FromACallerIsDueAtTheEarlierOfItsDeadlineAndItsRoutesTimeLimit)
    {
        EXPECT_EQ(resolve()->deadline, arrivedAt + milliseconds(3000));
        metadata.deadline = milliseconds(30000);
        EXPECT_EQ(resolve()->deadline, arrivedAt + milliseconds(8000));
        EXPECT_EQ(resolve()->firstByteDueAt, arrivedAt + milliseconds(600));
        EXPECT_EQ(resolve()->metadata.work.priority, 1u);
    }

    TEST_F(ARequest, OfAnotherInstanceKeepsTheServiceAndTheTimesOfItsOrigin)
    {
        hop = HopMetadata { "lagos-1", 3, "draft", milliseconds(900), milliseconds(400), "17", 0, {} };
        const auto resolved = resolve();
        ASSERT_TRUE(resolved);
        EXPECT_EQ(resolved->deadline, arrivedAt + milliseconds(900));
        EXPECT_EQ(resolved->firstByteDueAt, arrivedAt + milliseconds(400));
        EXPECT_EQ(resolved->metadata.resumeAfter, "17");
    }

    TEST_F(ARequest, OfAnotherInstanceIsRefusedAsNotRunIfTheConfigurationsDiffer)
    {
        hop = HopMetadata { "lagos-1", 3, "schedules", milliseconds(900), milliseconds(400), {}, 0, {} };
        EXPECT_EQ(resolve().error().kind, ErrorKind::NotReady);
        hop->service = "draft";
        EXPECT_EQ(resolve("abuja").error().kind, ErrorKind::NotReady);
        message.target = "/new/x";
        EXPECT_EQ(resolve().error().kind, ErrorKind::NotReady);
        EXPECT_EQ(resolve().error().effectiveRunState(), RunState::NotRun);
    }

    struct AnIdentifiedRequest : ARequest {
        AnIdentifiedRequest()
        {
            config.identifiesCallers = true;
            config.routes.front().requiresCredential = true;
            config.organisations = { { "clinic", { sha256Hex("k1"), sha256Hex("k2") }, {}, 1, {}, 0, { true, 100, 100, 200 } }, { "school", { sha256Hex("k3") }, { "abuja" }, 1, {} } };
            metadata.credential = "k2";
        }
    };

    TEST_F(AnIdentifiedRequest, BelongsToTheOrganisationThatHoldsItsCredential)
    {
        auto resolved = resolve();
        ASSERT_TRUE(resolved);
        EXPECT_EQ(resolved->organisation->name, "clinic");
        EXPECT_EQ(resolved->fleetLimitCost, 200);
        EXPECT_EQ(resolved->callerIdentity(), CallerIdentity::Withheld);
        metadata.statedTokens = 1540;
        EXPECT_EQ(resolve()->fleetLimitCost, 1540);
        for (const auto* unknown : { "", "k4", "K2" }) {
            metadata.credential = unknown;
            EXPECT_EQ(resolve().error().kind, ErrorKind::Unauthenticated) << unknown;
        }
        config.routes.front().requiresCredential = false;
        resolved = resolve();
        ASSERT_TRUE(resolved);
        EXPECT_EQ(resolved->organisation, nullptr);
    }

    TEST_F(AnIdentifiedRequest, HasThePriorityOfItsOrganisationBeforeThatOfItsRoute)
    {
        EXPECT_EQ(resolve()->priority(), 0u);
        EXPECT_EQ(resolve()->metadata.work.priority, 0u);
        config.organisations.front().priority.reset();
        EXPECT_EQ(resolve()->metadata.work.priority, 1u);
    }

    TEST_F(AnIdentifiedRequest, RunsOnlyWhereRouteAndOrganisationBothAllow)
    {
        metadata.credential = "k3";
        EXPECT_TRUE(resolve()->allowedRegions().names().empty());
        config.routes.front().homeRegions.clear();
        EXPECT_EQ(resolve()->allowedRegions().names(), std::vector<RegionName> { "abuja" });
    }

    // The origin sends no credential on, and may hold another configuration than this instance.
    TEST_F(AnIdentifiedRequest, OfAnotherInstanceIsCheckedAgainByTheNameOfItsOrganisation)
    {
        metadata.credential.clear();
        hop = HopMetadata { "lagos-1", 3, "draft", milliseconds(900), milliseconds(400), {}, 0, {} };
        EXPECT_EQ(resolve().error().kind, ErrorKind::NotReady);
        hop->organisation = "clinic";
        EXPECT_EQ(resolve()->organisation->name, "clinic");
        hop->organisation = "school";
        EXPECT_EQ(resolve("abuja").error().kind, ErrorKind::NotReady);
        EXPECT_EQ(resolve("lagos").error().kind, ErrorKind::NotReady);
        hop->organisation = "unknown";
        EXPECT_EQ(resolve().error().kind, ErrorKind::NotReady);
        EXPECT_EQ(resolve().error().effectiveRunState(), RunState::NotRun);
    }

    TEST_F(ARequest, WithoutARouteIsUnknownOnlyOnceAConfigurationIsKnown)
    {
        message.target = "/none/x";
        EXPECT_EQ(resolve().error().kind, ErrorKind::UnknownRoute);
        EXPECT_EQ(resolveRequest(message, metadata, nullptr, "lagos", nullptr, arrivedAt).error().kind, ErrorKind::NotReady);
        message.headers.clear();
        EXPECT_EQ(resolve().error().kind, ErrorKind::MalformedRequest);
    }

} // namespace
} // namespace yuccashift
