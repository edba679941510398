#include "tests/support/fakes/fleet_items.hpp"
#include "yuccashift/entry/snapshot_exchange.hpp"
#include "yuccashift/fleet/datagram.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    /** What a link of 10 Mbit/s carries in a twentieth of a second. */
    constexpr std::size_t promptBytes = 64 * 1024;
    constexpr std::size_t largeConfigBytes = 800'000;

    struct AChangeBehindALargeConfiguration : testing::Test {
        AChangeBehindALargeConfiguration()
        {
            write("s1", "server draft 10.0.0.1:80 hall ready 1 0 4");
            behind.apply(changes, revision);
            known = revision;
            write("config", "config 7" + std::string(largeConfigBytes, ' '));
            write("s1", "server draft 10.0.0.1:80 hall draining 1 0 4");
            held.apply(changes, revision);
        }

        void write(const std::string& key, const std::string& value) { changes.push_back({ key, value, ++revision }); }

        VirtualClock clock;
        test::WordItems items;
        std::vector<ItemChange> changes;
        std::int64_t revision = 0;
        std::int64_t known = 0;
        ItemReplica held;
        FleetState behind { clock, items };
    };

    struct RemovalsToldOn : testing::Test {
        RemovalsToldOn()
        {
            std::vector<ItemChange> listing;
            listing.reserve(6);
            for (int n = 0; n < 6; ++n)
                listing.push_back({ "s" + std::to_string(n), "server draft 10.0.0.1:80 hall ready 1 0 4", n + 1 });
            for (auto* it : { &first, &second, &third })
                it->replaceAll(listing, known);
        }
        void removeMost(FleetState& fleet)
        {
            std::vector<ItemChange> changes;
            changes.reserve(4);
            for (int n = 0; n < 4; ++n)
                changes.push_back({ "s" + std::to_string(n), std::nullopt, known + n + 1 });
            fleet.apply(changes, known + 4);
        }
        void tell(const FleetState& from, FleetState& to)
        {
            const auto message = encodeSnapshot(snapshotAfter(from.replica(), known, LargeValues::Follow, clock.now()));
            EXPECT_TRUE(applySnapshot(to, *decodeSnapshot(message), clock.now()));
        }
        void pass(Duration time)
        {
            clock.advance(time);
            for (auto* it : { &first, &second, &third })
                it->tick();
        }

        VirtualClock clock;
        test::WordItems items;
        const std::int64_t known = 10;
        FleetState first { clock, items };
        FleetState second { clock, items };
        FleetState third { clock, items };
    };

    // An instance that was told late deferred a mass removal anew, for as long as the one that told it had.
    TEST_F(RemovalsToldOn, WaitNoLongerThanAtTheInstanceThatLearnedOfThemFirst)
    {
        removeMost(first);
        pass(milliseconds(900));
        tell(first, second);
        pass(milliseconds(900));
        tell(second, third);
        EXPECT_EQ(third.servers().size(), 6u);
        pass(milliseconds(250));
        EXPECT_EQ(first.servers().size(), 2u);
        EXPECT_EQ(second.servers().size(), 2u);
        EXPECT_EQ(third.servers().size(), 2u);
    }

    TEST_F(RemovalsToldOn, TakeEffectAtOnceIfTheyHaveBeenKnownForLong)
    {
        removeMost(first);
        pass(seconds(5));
        tell(first, second);
        EXPECT_EQ(second.servers().size(), 2u);
    }

    // An earlier version does not tell it.
    TEST_F(RemovalsToldOn, WaitFromTheMessageOnIfItDoesNotTell)
    {
        removeMost(first);
        pass(seconds(5));
        EXPECT_TRUE(applySnapshot(second, snapshotAfter(first.replica(), known), clock.now()));
        pass(milliseconds(1900));
        EXPECT_EQ(second.servers().size(), 6u);
        pass(milliseconds(200));
        EXPECT_EQ(second.servers().size(), 2u);
    }

    // Guards against departures that stay unknown while a configuration of a megabyte is on its way over a slow link.
    TEST_F(AChangeBehindALargeConfiguration, DoesNotWaitForIt)
    {
        const auto snapshot = snapshotAfter(held, known);
        EXPECT_LE(encodeSnapshot(snapshot).size(), promptBytes);
        EXPECT_TRUE(applySnapshot(behind, snapshot));
        EXPECT_TRUE(behind.servers().at("s1").draining);
    }

    TEST_F(AChangeBehindALargeConfiguration, LeavesTheConfigurationInForceUntilTheNewOneArrives)
    {
        applySnapshot(behind, snapshotAfter(held, known));
        EXPECT_EQ(behind.configVersion(), 0);
        EXPECT_EQ(behind.replica().awaitedValues().count("config"), 1u);

        CompressedValues values;
        const auto message = values.encode(held, "config", 0);
        ASSERT_TRUE(message);
        EXPECT_LE(message->size(), promptBytes);
        EXPECT_TRUE(applyItemValue(behind, *decodeItemValue(*message)));
        EXPECT_EQ(behind.configVersion(), 7);
        EXPECT_TRUE(behind.replica().awaitedValues().empty());
        EXPECT_EQ(behind.replica().completeRevision(), held.revision());
    }

    TEST_F(AChangeBehindALargeConfiguration, ArrivesWithItIfTheReceiverIsAnEarlierVersion)
    {
        const auto snapshot = snapshotAfter(held, known, LargeValues::Included);
        EXPECT_TRUE(std::ranges::none_of(snapshot.items, &fleetwire::HeldItem::valueFollows));
        applySnapshot(behind, snapshot);
        EXPECT_EQ(behind.configVersion(), 7);
        EXPECT_TRUE(behind.servers().at("s1").draining);
    }

    TEST_F(AChangeBehindALargeConfiguration, IsPassedOnByAnInstanceThatLacksTheConfigurationItself)
    {
        applySnapshot(behind, snapshotAfter(held, known));
        FleetState third(clock, items);
        ASSERT_TRUE(applySnapshot(third, snapshotAfter(behind.replica(), 0)));
        EXPECT_TRUE(third.servers().at("s1").draining);
        EXPECT_EQ(third.replica().awaitedValues(), behind.replica().awaitedValues());
    }

    TEST_F(AChangeBehindALargeConfiguration, IsNotUndoneByADamagedValue)
    {
        applySnapshot(behind, snapshotAfter(held, known));
        CompressedValues values;
        auto message = *decodeItemValue(*values.encode(held, "config", 0));
        message.compressed.resize(message.compressed.size() / 2);
        EXPECT_FALSE(applyItemValue(behind, message));
        message.size = -1;
        EXPECT_FALSE(applyItemValue(behind, message));
        EXPECT_EQ(behind.replica().awaitedValues().count("config"), 1u);
        EXPECT_TRUE(behind.servers().at("s1").draining);
    }

    struct SnapshotsOfTwoEras : testing::Test {
        SnapshotsOfTwoEras()
        {
            const std::vector<ItemChange> first { { "config", "config 7", 10 }, { "s1", "server draft 10.0.0.1:80 hall ready 1 0 4", 12 } };
            for (auto* it : { &ahead, &behind }) {
                it->setFirstEra(1);
                it->replaceAll(first, 12);
            }
            const std::vector<ItemChange> second { { "config", "config 7", 4 }, { "s2", "server draft 10.0.0.2:80 hall ready 1 0 4", 5 } };
            ahead.beginEra(2, second, 5);
        }

        VirtualClock clock;
        test::WordItems items;
        FleetState ahead { clock, items };
        FleetState behind { clock, items };
    };

    TEST_F(SnapshotsOfTwoEras, MoveAnInstanceToTheLaterOneOnlyAsAWhole)
    {
        EXPECT_FALSE(applySnapshot(behind, snapshotAfter(ahead.replica(), 5)));
        EXPECT_TRUE(applySnapshot(behind, wholeSnapshot(ahead.replica())));
        EXPECT_EQ(behind.replica().era(), 2);
        EXPECT_EQ(behind.replica().revision(), 5);
        EXPECT_TRUE(behind.servers().contains("s2"));
    }

    TEST_F(SnapshotsOfTwoEras, NeverMoveAnInstanceBack)
    {
        EXPECT_FALSE(applySnapshot(ahead, wholeSnapshot(behind.replica())));
        auto ofAnEarlierVersion = wholeSnapshot(behind.replica());
        ofAnEarlierVersion.era = 0;
        EXPECT_FALSE(applySnapshot(ahead, ofAnEarlierVersion));
        CompressedValues values;
        EXPECT_FALSE(applyItemValue(ahead, *decodeItemValue(*values.encode(behind.replica(), "config", 0))));
        EXPECT_EQ(ahead.replica().era(), 2);
        EXPECT_EQ(ahead.replica().items().at("config").revision, 4);
    }

    TEST(CompressedValuesOfItems, AreSentOnlyIfTheyAreNewer)
    {
        ItemReplica held;
        const std::vector<ItemChange> changes { { "config", "config 7", 12 } };
        held.apply(changes, 12);
        CompressedValues values;
        EXPECT_TRUE(values.encode(held, "config", 11));
        EXPECT_FALSE(values.encode(held, "config", 12));
        EXPECT_FALSE(values.encode(held, "other", 0));
    }

} // namespace
} // namespace yuccashift
