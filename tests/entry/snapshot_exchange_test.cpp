#include "tests/support/fakes/fleet_items.hpp"
#include "yuccashift/entry/snapshot_exchange.hpp"
#include "yuccashift/fleet/datagram.hpp"

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

} // namespace
} // namespace yuccashift
