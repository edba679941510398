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
