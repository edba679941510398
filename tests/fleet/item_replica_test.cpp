#include "yuccashift/fleet/item_replica.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct ItemsOfAReplica : testing::Test {
        ItemReplica replica;

        void change(const std::string& key, const char* value, std::int64_t revision)
        {
            const std::vector<ItemChange> changes { { key, value ? std::optional<std::string>(value) : std::nullopt, revision } };
            replica.apply(changes, revision);
        }
    };

    TEST_F(ItemsOfAReplica, AreReplacedByNewerRevisionsOnly)
    {
        change("a", "new", 7);
        change("a", "old", 5);
        EXPECT_EQ(replica.items().at("a").value, "new");
        change("a", "newer", 8);
        EXPECT_EQ(replica.items().at("a").value, "newer");
    }

    TEST_F(ItemsOfAReplica, AreNotRestoredByALatePage)
    {
        change("a", "there", 3);
        change("a", nullptr, 6);
        change("a", "there", 3);
        EXPECT_FALSE(replica.items().contains("a"));
        change("a", "again", 9);
        EXPECT_TRUE(replica.items().contains("a"));
    }

    TEST_F(ItemsOfAReplica, ReturnTheChangesAfterARevisionWhileTheHistoryReachesBackToIt)
    {
        replica.replaceAll({}, 5);
        change("a", "1", 6);
        change("a", nullptr, 7);
        ASSERT_TRUE(replica.changesAfter(5));
        EXPECT_EQ(replica.changesAfter(5)->size(), 2u);
        EXPECT_EQ(replica.changesAfter(6)->size(), 1u);
        EXPECT_FALSE(replica.changesAfter(4));
        for (std::int64_t n = 8; n < 400; ++n)
            change("b", "x", n);
        EXPECT_FALSE(replica.changesAfter(7));
        EXPECT_TRUE(replica.changesAfter(398));
    }

    // Guards against an item that returns when a listing older than the current revision still contains it. Found by
    // fleet_fuzz with the steps {1,0,0,0} {2,0,0,0} {4,0,0,0} {5,0,130,0}.
    TEST_F(ItemsOfAReplica, AreNotRestoredByAListingOlderThanOneThatLacksThem)
    {
        replica.replaceAll({}, 5);
        const std::vector<ItemChange> late { { "a", "there", 3 } };
        EXPECT_TRUE(replica.replaceAll(late, 4).empty());
        EXPECT_FALSE(replica.items().contains("a"));
    }

    TEST_F(ItemsOfAReplica, AreRemovedByAListingThatLacksThem)
    {
        change("a", "1", 3);
        change("b", "2", 4);
        const std::vector<ItemChange> listing { { "b", "2", 4 } };
        const auto applied = replica.replaceAll(listing, 10);
        ASSERT_EQ(applied.size(), 1u);
        EXPECT_EQ(applied[0].key, "a");
        EXPECT_FALSE(applied[0].value);
        EXPECT_EQ(replica.revision(), 10);
    }

    TEST_F(ItemsOfAReplica, StayIfTheyAreNewerThanTheListing)
    {
        change("a", "1", 12);
        replica.replaceAll({}, 13);
        EXPECT_FALSE(replica.items().contains("a"));
        change("b", "2", 20);
        const auto applied = replica.replaceAll({}, 15);
        EXPECT_TRUE(applied.empty());
        EXPECT_TRUE(replica.items().contains("b"));
        EXPECT_EQ(replica.revision(), 20);
    }

} // namespace
} // namespace yuccashift
