#include "yuccashift/fleet/member_book.hpp"

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
        beat.sender = shortNameOf(instance);
        beat.incarnation = incarnation;
        beat.sequence = sequence;
        beat.takesCallers = true;
        return beat;
    }

    struct APeerTable : testing::Test {
        VirtualClock clock;
        MemberBook table { clock, "self" };
    };

    TEST_F(APeerTable, IgnoresHeartbeatsThatAreNotNewerThanTheLastOne)
    {
        EXPECT_TRUE(table.take(beatOf("a", 2, 5)));
        EXPECT_FALSE(table.take(beatOf("a", 2, 5)));
        EXPECT_FALSE(table.take(beatOf("a", 1, 9)));
        EXPECT_TRUE(table.take(beatOf("a", 3, 1)));
        EXPECT_FALSE(table.take(beatOf("self", 9, 9)));
    }

    TEST_F(APeerTable, IgnoresASenderUntilItsProfileArrives)
    {
        auto withoutProfile = beatOf("a", 1, 1);
        withoutProfile.__isset.profile = false;
        EXPECT_FALSE(table.take(withoutProfile));
        EXPECT_EQ(table.take(beatOf("a", 1, 2)), "a");
        withoutProfile.sequence = 3;
        EXPECT_EQ(table.take(withoutProfile), "a");
        EXPECT_EQ(table.find("a")->region, "sofia");
    }

    TEST_F(APeerTable, KeepsSilentPeersButDoesNotCountThemAsAlive)
    {
        table.take(beatOf("a", 1, 1));
        EXPECT_EQ(table.alive().size(), 1u);
        clock.advance(seconds(2));
        EXPECT_TRUE(table.alive().empty());
        EXPECT_EQ(table.instancesSeen(), 2u);
        EXPECT_TRUE(table.take(beatOf("a", 1, 2)));
        EXPECT_EQ(table.alive().size(), 1u);
    }

    TEST_F(APeerTable, DoesNotCountDrainingPeersAsActive)
    {
        auto beat = beatOf("a", 1, 1);
        table.take(beat);
        EXPECT_EQ(table.ownersIn("sofia", true), (std::vector<InstanceId> { "a", "self" }));
        beat.sequence = 2;
        beat.draining = true;
        table.take(beat);
        EXPECT_EQ(table.ownersIn("sofia", true), (std::vector<InstanceId> { "self" }));
        EXPECT_TRUE(table.ownersIn("varna", false).empty());
    }

    TEST_F(APeerTable, RemovesPeersOnlyAfterALongSilence)
    {
        table.take(beatOf("a", 1, 1));
        clock.advance(seconds(29));
        EXPECT_TRUE(table.expire().empty());
        clock.advance(seconds(2));
        EXPECT_EQ(table.expire(), (std::vector<InstanceId> { "a" }));
    }

    // Guards against several instances that hold one region role at a time, which sends too many requests to cold
    // servers. It comes about when all instances of a region start at once or lose contact with each other.
    TEST_F(APeerTable, AllowsARegionRoleOnlyAfterListeningAndWithAMajority)
    {
        EXPECT_FALSE(table.mayOwn("sofia"));
        for (const auto* name : { "a", "b", "c", "d" })
            table.take(beatOf(name, 1, 1));
        clock.advance(milliseconds(1400));
        for (const auto* name : { "a", "b" })
            table.take(beatOf(name, 1, 2));
        EXPECT_FALSE(table.mayOwn("sofia"));
        clock.advance(milliseconds(700));
        table.noteOwners("sofia");
        EXPECT_FALSE(table.mayOwn("sofia")) << "the previous holder may not have given it up yet";
        for (const auto* name : { "a", "b" })
            table.take(beatOf(name, 1, 3));
        clock.advance(milliseconds(1000));
        table.noteOwners("sofia");
        EXPECT_TRUE(table.mayOwn("sofia")) << "hears two of the four others";
        clock.advance(milliseconds(1000));
        EXPECT_FALSE(table.mayOwn("sofia"));
    }

    TEST_F(APeerTable, AllowsARegionRoleToALoneInstanceOnlyIfNoPeersAreExpected)
    {
        clock.advance(seconds(5));
        EXPECT_TRUE(table.mayOwn("sofia"));
        table.expectOthers();
        EXPECT_FALSE(table.mayOwn("sofia"));
    }

    TEST_F(APeerTable, AcceptsCapacitiesWithFewerPriorityLevels)
    {
        auto beat = beatOf("a", 1, 1);
        fleetwire::ServiceRoom reported;
        reported.serviceName = "draft";
        reported.waitMs = { 40, 90 };
        reported.freeSlots = 3;
        beat.rooms = { reported };
        table.take(beat);
        const auto& capacity = table.find("a")->rooms.at("draft");
        EXPECT_EQ(capacity.wait[0], milliseconds(40));
        EXPECT_EQ(capacity.wait[urgencyRanks - 1], milliseconds(90));
    }

    // Guards against overloading another region: an instance can send hundreds of short requests there between two
    // heartbeats, and must count them before the region's reported capacity reflects them.
    TEST_F(APeerTable, CountsHopsUntilTheyEndOrAHeartbeatReflectsThem)
    {
        auto beat = beatOf("a", 1, 1);
        beat.rooms.emplace_back();
        table.take(beat);
        table.noteHop("a");
        table.noteHop("a");
        EXPECT_EQ(table.find("a")->sentSinceHeard, 2);
        table.noteHopEnd("a");
        EXPECT_EQ(table.find("a")->sentSinceHeard, 1);
        beat.sequence = 2;
        table.take(beat);
        EXPECT_EQ(table.find("a")->sentSinceHeard, 0);
        table.noteHopEnd("a");
        EXPECT_EQ(table.find("a")->sentSinceHeard, 0);
        table.noteHopEnd("unknown");
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
