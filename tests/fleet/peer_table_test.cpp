#include "yuccashift/fleet/peer_table.hpp"

#include "yuccashift/fleet/datagram.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    fleetwire::Heartbeat beatOf(const std::string& instance, std::int64_t incarnation, std::int64_t sequence)
    {
        fleetwire::Heartbeat beat;
        fleetwire::Profile profile;
        profile.instance = instance;
        profile.region = "sofia";
        profile.ip = "10.0.0.2";
        beat.__set_profile(profile);
        beat.sender = hashOfInstance(instance);
        beat.incarnation = incarnation;
        beat.sequence = sequence;
        beat.takesCallers = true;
        return beat;
    }

    struct APeerTable : testing::Test {
        VirtualClock clock;
        PeerTable table { clock, "self" };
    };

    TEST_F(APeerTable, IgnoresHeartbeatsThatAreNotNewerThanTheLastOne)
    {
        EXPECT_TRUE(table.onHeartbeat(beatOf("a", 2, 5)));
        EXPECT_FALSE(table.onHeartbeat(beatOf("a", 2, 5)));
        EXPECT_FALSE(table.onHeartbeat(beatOf("a", 1, 9)));
        EXPECT_TRUE(table.onHeartbeat(beatOf("a", 3, 1)));
        EXPECT_FALSE(table.onHeartbeat(beatOf("self", 9, 9)));
    }

    TEST_F(APeerTable, IgnoresASenderUntilItsProfileArrives)
    {
        auto withoutProfile = beatOf("a", 1, 1);
        withoutProfile.__isset.profile = false;
        EXPECT_FALSE(table.onHeartbeat(withoutProfile));
        EXPECT_EQ(table.onHeartbeat(beatOf("a", 1, 2)), "a");
        withoutProfile.sequence = 3;
        EXPECT_EQ(table.onHeartbeat(withoutProfile), "a");
        EXPECT_EQ(table.find("a")->region, "sofia");
    }

    fleetwire::Heartbeat withCapacity(fleetwire::Heartbeat beat, std::int32_t freeSlots)
    {
        beat.reportsCapacity = true;
        if (freeSlots > 0) {
            fleetwire::ServiceRoom room;
            room.serviceName = "draft";
            room.freeSlots = freeSlots;
            beat.rooms.push_back(room);
        }
        return beat;
    }

    // Instances that had lost their servers kept getting requests by the capacity that they had reported before.
    TEST_F(APeerTable, ForgetsTheCapacityOfAPeerThatReportsNone)
    {
        table.onHeartbeat(withCapacity(beatOf("a", 1, 1), 6));
        EXPECT_EQ(table.find("a")->capacityByService.size(), 1u);
        // A heartbeat that does not report capacity changes nothing.
        table.onHeartbeat(beatOf("a", 1, 2));
        EXPECT_EQ(table.find("a")->capacityByService.size(), 1u);
        table.onHeartbeat(withCapacity(beatOf("a", 1, 3), 0));
        EXPECT_TRUE(table.find("a")->capacityByService.empty());
    }

    TEST_F(APeerTable, KeepsSilentPeersButDoesNotCountThemAsAlive)
    {
        table.onHeartbeat(beatOf("a", 1, 1));
        EXPECT_EQ(table.alive().size(), 1u);
        clock.advance(seconds(2));
        EXPECT_TRUE(table.alive().empty());
        EXPECT_EQ(table.knownInstanceCount(), 2u);
        EXPECT_TRUE(table.onHeartbeat(beatOf("a", 1, 2)));
        EXPECT_EQ(table.alive().size(), 1u);
    }

    TEST_F(APeerTable, DoesNotCountDrainingPeersAsActive)
    {
        auto beat = beatOf("a", 1, 1);
        table.onHeartbeat(beat);
        EXPECT_EQ(table.activeInstancesIn("sofia", true), (std::vector<InstanceId> { "a", "self" }));
        beat.sequence = 2;
        beat.draining = true;
        table.onHeartbeat(beat);
        EXPECT_EQ(table.activeInstancesIn("sofia", true), (std::vector<InstanceId> { "self" }));
        EXPECT_TRUE(table.activeInstancesIn("varna", false).empty());
    }

    TEST_F(APeerTable, RemovesPeersOnlyAfterALongSilence)
    {
        table.onHeartbeat(beatOf("a", 1, 1));
        clock.advance(seconds(29));
        EXPECT_TRUE(table.expire().empty());
        clock.advance(seconds(2));
        EXPECT_EQ(table.expire(), (std::vector<InstanceId> { "a" }));
    }

    // Guards against several instances that hold one region role at a time, which sends too many requests to cold
    // servers. It comes about when all instances of a region start at once or lose contact with each other.
    TEST_F(APeerTable, AllowsARegionRoleOnlyAfterListeningAndWithAMajority)
    {
        EXPECT_FALSE(table.mayTakeRegionRole("sofia"));
        for (const auto* name : { "a", "b", "c", "d" })
            table.onHeartbeat(beatOf(name, 1, 1));
        clock.advance(milliseconds(1400));
        for (const auto* name : { "a", "b" })
            table.onHeartbeat(beatOf(name, 1, 2));
        EXPECT_FALSE(table.mayTakeRegionRole("sofia"));
        clock.advance(milliseconds(700));
        table.updateActiveInstances("sofia");
        EXPECT_FALSE(table.mayTakeRegionRole("sofia")) << "the previous holder may not have given it up yet";
        for (const auto* name : { "a", "b" })
            table.onHeartbeat(beatOf(name, 1, 3));
        clock.advance(milliseconds(1000));
        table.updateActiveInstances("sofia");
        EXPECT_TRUE(table.mayTakeRegionRole("sofia")) << "hears two of the four others";
        clock.advance(milliseconds(1000));
        EXPECT_FALSE(table.mayTakeRegionRole("sofia"));
    }

    TEST_F(APeerTable, AllowsARegionRoleToALoneInstanceOnlyIfNoPeersAreExpected)
    {
        clock.advance(seconds(5));
        EXPECT_TRUE(table.mayTakeRegionRole("sofia"));
        table.expectPeers();
        EXPECT_FALSE(table.mayTakeRegionRole("sofia"));
    }

    TEST_F(APeerTable, AcceptsCapacitiesWithFewerPriorityLevels)
    {
        auto beat = beatOf("a", 1, 1);
        fleetwire::ServiceRoom reported;
        reported.serviceName = "draft";
        reported.waitMs = { 40, 90 };
        reported.freeSlots = 3;
        beat.rooms = { reported };
        table.onHeartbeat(beat);
        const auto& capacity = table.find("a")->capacityByService.at("draft");
        EXPECT_EQ(capacity.wait[0], milliseconds(40));
        EXPECT_EQ(capacity.wait[priorityLevels - 1], milliseconds(90));
    }

    // Guards against overloading another region: an instance can send hundreds of short requests there between two
    // heartbeats, and must count them before the region's reported capacity reflects them.
    TEST_F(APeerTable, CountsHopsUntilTheyEndOrAHeartbeatReflectsThem)
    {
        auto beat = beatOf("a", 1, 1);
        beat.rooms.emplace_back();
        table.onHeartbeat(beat);
        table.onHopStarted("a");
        table.onHopStarted("a");
        EXPECT_EQ(table.find("a")->unreportedHops, 2);
        table.onHopEnded("a");
        EXPECT_EQ(table.find("a")->unreportedHops, 1);
        beat.sequence = 2;
        table.onHeartbeat(beat);
        EXPECT_EQ(table.find("a")->unreportedHops, 0);
        table.onHopEnded("a");
        EXPECT_EQ(table.find("a")->unreportedHops, 0);
        table.onHopEnded("unknown");
    }

    TEST(AHeartbeat, IsTheSameAfterEncodingAndDecoding)
    {
        auto beat = beatOf("a", 2, 5);
        beat.hears = { 1, 2, 3 };
        beat.crashes = { { 77, 2 } };
        fleetwire::Datagram datagram;
        datagram.__set_heartbeat(beat);
        const auto decoded = decodeDatagram(encodeDatagram(datagram));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(*decoded, datagram);
    }

    TEST(AHeartbeat, ThatIsTruncatedIsAnError)
    {
        fleetwire::Datagram datagram;
        datagram.__set_heartbeat(beatOf("a", 2, 5));
        const auto bytes = encodeDatagram(datagram);
        for (std::size_t n = 0; n + 1 < bytes.size(); ++n)
            EXPECT_FALSE(decodeDatagram(bytes.substr(0, n))) << n;
    }

    TEST(ASnapshot, CarriesItemsWithArbitraryBytes)
    {
        fleetwire::Snapshot snapshot;
        snapshot.revision = 12;
        fleetwire::HeldItem item;
        item.key = "k";
        item.__set_value(std::string("\0\xff", 2));
        item.revision = 4;
        snapshot.items = { item };
        const auto decoded = decodeSnapshot(encodeSnapshot(snapshot));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded->items, snapshot.items);
    }

} // namespace
} // namespace yuccashift
