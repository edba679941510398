#include "tests/support/fakes/fleet_items.hpp"
#include "yuccashift/entry/resumed_stream.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct AResumedStream : testing::Test {
        AResumedStream()
        {
            route.kind = RouteKind::Streaming;
            route.timeLimit = milliseconds(6000);
            route.services = { { "draft", 1 } };
            fleet.replaceAll(std::vector<ItemChange> { { "config", "config 1", 1 }, { "s1", "server draft 10.0.0.1:80 hall ready 1 0 6 v1", 2 }, { "s2", "server chat 10.0.0.2:80 hall ready 1 0 6 v1", 3 } }, 3);
        }

        SoftwareId withoutRecord() const { return softwareWithoutRecord(fleet, route, clock.now()); }

        VirtualClock clock;
        test::WordItems items;
        FleetState fleet { clock, items };
        Route route;
        const SoftwareId draft = softwareIdOf("draft", "v1");
    };

    TEST_F(AResumedStream, WithoutARecordIsCertainOnceAllOlderOnesHaveReachedTheirTimeLimit)
    {
        clock.advance(seconds(12) - milliseconds(1));
        EXPECT_EQ(withoutRecord(), 0u);
        clock.advance(milliseconds(1));
        EXPECT_EQ(withoutRecord(), draft);
        route.services.push_back({ "chat", 1 });
        EXPECT_EQ(withoutRecord(), 0u) << "either service may have begun it";
        EXPECT_EQ(presumedSoftware(fleet, route, "chat", clock.now()), softwareIdOf("chat", "v1"));
    }

    TEST_F(AResumedStream, IsOfCertainSoftwareOnlyAtAnInstanceThatHasLatelyHadAllChanges)
    {
        PeerTable peers(clock, "i1");
        const auto inStep = [&] { return isInStep(fleet, peers, clock.now()); };
        EXPECT_FALSE(inStep()) << "nothing says that the list is complete";
        fleet.confirm(clock.now());
        EXPECT_TRUE(inStep());
        clock.advance(seconds(5) + milliseconds(1));
        EXPECT_FALSE(inStep());
        fleet.confirm(clock.now());
        EXPECT_TRUE(inStep());
        clock.advance(seconds(12) - milliseconds(1));
        fleet.confirm(clock.now());
        EXPECT_EQ(withoutRecord(), 0u) << "it was out of step in the meantime";
        for (int n = 0; n < 12; ++n) {
            clock.advance(seconds(1));
            fleet.confirm(clock.now());
        }
        EXPECT_EQ(withoutRecord(), draft);

        peers.expectPeers();
        clock.advance(seconds(1));
        EXPECT_FALSE(inStep()) << "it may be cut off";
        fleet.confirm(clock.now());
        EXPECT_TRUE(inStep()) << "the store was heard after the others";
        fleet.onPause();
        EXPECT_FALSE(inStep());
        EXPECT_EQ(withoutRecord(), 0u);
    }

    TEST_F(AResumedStream, GoesOnAtTheServiceOfItsRouteThatRunsItsSoftware)
    {
        ASSERT_NE(serviceWith(fleet, route, draft), nullptr);
        EXPECT_EQ(*serviceWith(fleet, route, draft), "draft");
        EXPECT_EQ(serviceWith(fleet, route, softwareIdOf("chat", "v1")), nullptr) << "another route's service";
        EXPECT_EQ(serviceWith(fleet, route, softwareIdOf("draft", "v2")), nullptr);
    }

} // namespace
} // namespace yuccashift
