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

    struct AMemberBook : testing::Test {
        VirtualClock clock;
        MemberBook book { clock, "self" };
    };

    TEST_F(AMemberBook, DropsHeartbeatsThatAreOlderThanOneTaken)
    {
        EXPECT_TRUE(book.take(beatOf("a", 2, 5)));
        EXPECT_FALSE(book.take(beatOf("a", 2, 5)));
        EXPECT_FALSE(book.take(beatOf("a", 1, 9)));
        EXPECT_TRUE(book.take(beatOf("a", 3, 1)));
        EXPECT_FALSE(book.take(beatOf("self", 9, 9)));
    }

    TEST_F(AMemberBook, KnowsASenderOnlyOnceItsProfileCame)
    {
        auto brief = beatOf("a", 1, 1);
        brief.__isset.profile = false;
        EXPECT_FALSE(book.take(brief));
        EXPECT_EQ(book.take(beatOf("a", 1, 2)), "a");
        brief.sequence = 3;
        EXPECT_EQ(book.take(brief), "a");
        EXPECT_EQ(book.find("a")->region, "sofia");
    }

    TEST_F(AMemberBook, LeavesOutSilentInstancesButRemembersThem)
    {
        book.take(beatOf("a", 1, 1));
        EXPECT_EQ(book.alive().size(), 1u);
        clock.advance(seconds(2));
        EXPECT_TRUE(book.alive().empty());
        EXPECT_EQ(book.instancesSeen(), 2u);
        EXPECT_TRUE(book.take(beatOf("a", 1, 2)));
        EXPECT_EQ(book.alive().size(), 1u);
    }

    TEST_F(AMemberBook, GivesNoOwnershipToDrainingInstances)
    {
        auto beat = beatOf("a", 1, 1);
        book.take(beat);
        EXPECT_EQ(book.ownersIn("sofia", true), (std::vector<InstanceId> { "a", "self" }));
        beat.sequence = 2;
        beat.draining = true;
        book.take(beat);
        EXPECT_EQ(book.ownersIn("sofia", true), (std::vector<InstanceId> { "self" }));
        EXPECT_TRUE(book.ownersIn("varna", false).empty());
    }

    TEST_F(AMemberBook, ForgetsOnlyAfterLongSilence)
    {
        book.take(beatOf("a", 1, 1));
        clock.advance(seconds(29));
        EXPECT_TRUE(book.expire().empty());
        clock.advance(seconds(2));
        EXPECT_EQ(book.expire(), (std::vector<InstanceId> { "a" }));
    }

    // Pattern: all instances of a region start at once, or lose each other, while servers are cold.
    TEST_F(AMemberBook, LetsNoInstanceOwnBeforeItHasListenedNorWithoutMostOfItsRegion)
    {
        EXPECT_FALSE(book.mayOwn("sofia"));
        for (const auto* name : { "a", "b", "c", "d" })
            book.take(beatOf(name, 1, 1));
        clock.advance(milliseconds(1400));
        for (const auto* name : { "a", "b" })
            book.take(beatOf(name, 1, 2));
        EXPECT_FALSE(book.mayOwn("sofia"));
        clock.advance(milliseconds(700));
        book.noteOwners("sofia");
        EXPECT_FALSE(book.mayOwn("sofia")) << "others may not have given it up yet";
        for (const auto* name : { "a", "b" })
            book.take(beatOf(name, 1, 3));
        clock.advance(milliseconds(1000));
        book.noteOwners("sofia");
        EXPECT_TRUE(book.mayOwn("sofia")) << "hears two of four others";
        clock.advance(milliseconds(1000));
        EXPECT_FALSE(book.mayOwn("sofia"));
    }

    TEST_F(AMemberBook, LetsAnInstanceOwnAloneOnlyWhereNobodyElseIsNamed)
    {
        clock.advance(seconds(5));
        EXPECT_TRUE(book.mayOwn("sofia"));
        book.expectOthers();
        EXPECT_FALSE(book.mayOwn("sofia"));
    }

    TEST_F(AMemberBook, ReadsRoomsOfAnInstanceThatTellsFewerRanks)
    {
        auto beat = beatOf("a", 1, 1);
        fleetwire::ServiceRoom room;
        room.serviceName = "draft";
        room.waitMs = { 40, 90 };
        room.freeSlots = 3;
        beat.rooms = { room };
        book.take(beat);
        const auto& view = book.find("a")->rooms.at("draft");
        EXPECT_EQ(view.wait[0], milliseconds(40));
        EXPECT_EQ(view.wait[urgencyRanks - 1], milliseconds(90));
    }

    // Pattern: an instance sends hundreds of short requests to another region between two heartbeats.
    TEST_F(AMemberBook, CountsHopsUntilTheyEndOrAHeartbeatShowsThem)
    {
        auto beat = beatOf("a", 1, 1);
        beat.rooms.emplace_back();
        book.take(beat);
        book.noteHop("a");
        book.noteHop("a");
        EXPECT_EQ(book.find("a")->sentSinceHeard, 2);
        book.noteHopEnd("a");
        EXPECT_EQ(book.find("a")->sentSinceHeard, 1);
        beat.sequence = 2;
        book.take(beat);
        EXPECT_EQ(book.find("a")->sentSinceHeard, 0);
        book.noteHopEnd("a");
        EXPECT_EQ(book.find("a")->sentSinceHeard, 0);
        book.noteHopEnd("nobody");
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
