#include "yuccashift/fleet/item_replica.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct ItemsHeld : testing::Test {
        ItemReplica held;

        void change(const std::string& key, const char* value, std::int64_t revision)
        {
            const std::vector<ItemChange> changes { { key, value ? std::optional<std::string>(value) : std::nullopt, revision } };
            held.apply(changes, revision);
        }
    };

    TEST_F(ItemsHeld, AreReplacedByNewerNewsOnly)
    {
        change("a", "new", 7);
        change("a", "old", 5);
        EXPECT_EQ(held.items().at("a").value, "new");
        change("a", "newer", 8);
        EXPECT_EQ(held.items().at("a").value, "newer");
    }

    TEST_F(ItemsHeld, AreNotBroughtBackByALatePage)
    {
        change("a", "there", 3);
        change("a", nullptr, 6);
        change("a", "there", 3);
        EXPECT_FALSE(held.items().contains("a"));
        change("a", "again", 9);
        EXPECT_TRUE(held.items().contains("a"));
    }

    TEST_F(ItemsHeld, TellWhatChangedAfterARevisionWhileThatIsRemembered)
    {
        held.replaceAll({}, 5);
        change("a", "1", 6);
        change("a", nullptr, 7);
        ASSERT_TRUE(held.changesAfter(5));
        EXPECT_EQ(held.changesAfter(5)->size(), 2u);
        EXPECT_EQ(held.changesAfter(6)->size(), 1u);
        EXPECT_FALSE(held.changesAfter(4));
        for (std::int64_t n = 8; n < 400; ++n)
            change("b", "x", n);
        EXPECT_FALSE(held.changesAfter(7));
        EXPECT_TRUE(held.changesAfter(398));
    }

    // Found by the fuzzer of published items: {1,0,0,0} {2,0,0,0} {4,0,0,0} {5,0,130,0}.
    TEST_F(ItemsHeld, AreNotBroughtBackByAPageOlderThanTheListingThatLackedThem)
    {
        held.replaceAll({}, 5);
        const std::vector<ItemChange> late { { "a", "there", 3 } };
        EXPECT_TRUE(held.replaceAll(late, 4).empty());
        EXPECT_FALSE(held.items().contains("a"));
    }

    TEST_F(ItemsHeld, GoWithAListingThatLacksThem)
    {
        change("a", "1", 3);
        change("b", "2", 4);
        const std::vector<ItemChange> listing { { "b", "2", 4 } };
        const auto taken = held.replaceAll(listing, 10);
        ASSERT_EQ(taken.size(), 1u);
        EXPECT_EQ(taken[0].key, "a");
        EXPECT_FALSE(taken[0].value);
        EXPECT_EQ(held.revision(), 10);
    }

    TEST_F(ItemsHeld, StayWhenTheyAreNewerThanTheListing)
    {
        change("a", "1", 12);
        held.replaceAll({}, 13);
        EXPECT_FALSE(held.items().contains("a"));
        change("b", "2", 20);
        const auto taken = held.replaceAll({}, 15);
        EXPECT_TRUE(taken.empty());
        EXPECT_TRUE(held.items().contains("b"));
        EXPECT_EQ(held.revision(), 20);
    }

} // namespace
} // namespace yuccashift
