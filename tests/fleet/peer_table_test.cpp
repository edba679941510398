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

    struct AMemberBook : testing::Test {
        VirtualClock clock;
        PeerTable book { clock, "self" };
    };

    TEST_F(AMemberBook, DropsHeartbeatsThatAreOlderThanOneTaken)
    {
        EXPECT_TRUE(book.onHeartbeat(beatOf("a", 2, 5)));
        EXPECT_FALSE(book.onHeartbeat(beatOf("a", 2, 5)));
        EXPECT_FALSE(book.onHeartbeat(beatOf("a", 1, 9)));
        EXPECT_TRUE(book.onHeartbeat(beatOf("a", 3, 1)));
        EXPECT_FALSE(book.onHeartbeat(beatOf("self", 9, 9)));
    }

    TEST_F(AMemberBook, KnowsASenderOnlyOnceItsProfileCame)
    {
        auto brief = beatOf("a", 1, 1);
        brief.__isset.profile = false;
        EXPECT_FALSE(book.onHeartbeat(brief));
        EXPECT_EQ(book.onHeartbeat(beatOf("a", 1, 2)), "a");
        brief.sequence = 3;
        EXPECT_EQ(book.onHeartbeat(brief), "a");
        EXPECT_EQ(book.find("a")->region, "sofia");
    }

    TEST_F(AMemberBook, LeavesOutSilentInstancesButRemembersThem)
    {
        book.onHeartbeat(beatOf("a", 1, 1));
        EXPECT_EQ(book.alive().size(), 1u);
        clock.advance(seconds(2));
        EXPECT_TRUE(book.alive().empty());
        EXPECT_EQ(book.knownInstanceCount(), 2u);
        EXPECT_TRUE(book.onHeartbeat(beatOf("a", 1, 2)));
        EXPECT_EQ(book.alive().size(), 1u);
    }

    TEST_F(AMemberBook, GivesNoOwnershipToDrainingInstances)
    {
        auto beat = beatOf("a", 1, 1);
        book.onHeartbeat(beat);
        EXPECT_EQ(book.activeInstancesIn("sofia", true), (std::vector<InstanceId> { "a", "self" }));
        beat.sequence = 2;
        beat.draining = true;
        book.onHeartbeat(beat);
        EXPECT_EQ(book.activeInstancesIn("sofia", true), (std::vector<InstanceId> { "self" }));
        EXPECT_TRUE(book.activeInstancesIn("varna", false).empty());
    }

    TEST_F(AMemberBook, ForgetsOnlyAfterLongSilence)
    {
        book.onHeartbeat(beatOf("a", 1, 1));
        clock.advance(seconds(29));
        EXPECT_TRUE(book.expire().empty());
        clock.advance(seconds(2));
        EXPECT_EQ(book.expire(), (std::vector<InstanceId> { "a" }));
    }

    // Pattern: all instances of a region start at once, or lose each other, while servers are cold.
    TEST_F(AMemberBook, LetsNoInstanceOwnBeforeItHasListenedNorWithoutMostOfItsRegion)
    {
        EXPECT_FALSE(book.mayTakeRegionRole("sofia"));
        for (const auto* name : { "a", "b", "c", "d" })
            book.onHeartbeat(beatOf(name, 1, 1));
        clock.advance(milliseconds(1400));
        for (const auto* name : { "a", "b" })
            book.onHeartbeat(beatOf(name, 1, 2));
        EXPECT_FALSE(book.mayTakeRegionRole("sofia"));
        clock.advance(milliseconds(700));
        book.updateActiveInstances("sofia");
        EXPECT_FALSE(book.mayTakeRegionRole("sofia")) << "others may not have given it up yet";
        for (const auto* name : { "a", "b" })
            book.onHeartbeat(beatOf(name, 1, 3));
        clock.advance(milliseconds(1000));
        book.updateActiveInstances("sofia");
        EXPECT_TRUE(book.mayTakeRegionRole("sofia")) << "hears two of four others";
        clock.advance(milliseconds(1000));
        EXPECT_FALSE(book.mayTakeRegionRole("sofia"));
    }

    TEST_F(AMemberBook, LetsAnInstanceOwnAloneOnlyWhereNobodyElseIsNamed)
    {
        clock.advance(seconds(5));
        EXPECT_TRUE(book.mayTakeRegionRole("sofia"));
        book.expectPeers();
        EXPECT_FALSE(book.mayTakeRegionRole("sofia"));
    }

    TEST_F(AMemberBook, ReadsRoomsOfAnInstanceThatTellsFewerRanks)
    {
        auto beat = beatOf("a", 1, 1);
        fleetwire::ServiceRoom room;
        room.serviceName = "draft";
        room.waitMs = { 40, 90 };
        room.freeSlots = 3;
        beat.rooms = { room };
        book.onHeartbeat(beat);
        const auto& view = book.find("a")->capacityByService.at("draft");
        EXPECT_EQ(view.wait[0], milliseconds(40));
        EXPECT_EQ(view.wait[priorityLevels - 1], milliseconds(90));
    }

    // Pattern: an instance sends hundreds of short requests to another region between two heartbeats.
    TEST_F(AMemberBook, CountsHopsUntilTheyEndOrAHeartbeatShowsThem)
    {
        auto beat = beatOf("a", 1, 1);
        beat.rooms.emplace_back();
        book.onHeartbeat(beat);
        book.onHopStarted("a");
        book.onHopStarted("a");
        EXPECT_EQ(book.find("a")->unreportedHops, 2);
        book.onHopEnded("a");
        EXPECT_EQ(book.find("a")->unreportedHops, 1);
        beat.sequence = 2;
        book.onHeartbeat(beat);
        EXPECT_EQ(book.find("a")->unreportedHops, 0);
        book.onHopEnded("a");
        EXPECT_EQ(book.find("a")->unreportedHops, 0);
        book.onHopEnded("nobody");
    }

    TEST(AHeartbeat, ComesOutOfItsDatagramAsItWentIn)
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

    TEST(AHeartbeat, ThatIsDamagedIsAnErrorAndNothingElse)
    {
        fleetwire::Datagram datagram;
        datagram.__set_heartbeat(beatOf("a", 2, 5));
        const auto bytes = encodeDatagram(datagram);
        for (std::size_t n = 0; n + 1 < bytes.size(); ++n)
            EXPECT_FALSE(decodeDatagram(bytes.substr(0, n))) << n;
    }

    TEST(ASnapshot, CarriesItemsWithAnyBytes)
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
