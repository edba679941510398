#include "yuccashift/gateway/in_progress_book.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    using Fingerprints = std::vector<std::uint64_t>;

    const BackendKey server { "desk", "desk-1" };

    TEST(RequestsInProgress, AreTrackedUntilTheyEnd)
    {
        InProgressBook tracker;
        const InProgressBook::Entry first(tracker, server, 7);
        {
            const InProgressBook::Entry same(tracker, server, 7);
            EXPECT_EQ(tracker.on(server), (Fingerprints { 7, 7 }));
        }
        EXPECT_EQ(tracker.on(server), Fingerprints { 7 });
        EXPECT_TRUE(tracker.on({ "desk", "desk-2" }).empty());
    }

    TEST(RequestsInProgress, CountOnceForACrashOfTheirServerHoweverLateEachNoticesIt)
    {
        InProgressBook tracker;
        const InProgressBook::Entry early(tracker, server, 7);
        const InProgressBook::Entry late(tracker, server, 8);
        EXPECT_EQ(tracker.takeForDeath(server), (Fingerprints { 7, 8 }));
        EXPECT_TRUE(tracker.takeForDeath(server).empty());
        const InProgressBook::Entry again(tracker, server, 7);
        EXPECT_EQ(tracker.takeForDeath(server), Fingerprints { 7 });
    }

} // namespace
} // namespace yuccashift
