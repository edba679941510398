#include "yuccashift/gateway/in_flight_request_tracker.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    using Fingerprints = std::vector<std::uint64_t>;

    const BackendKey server { "desk", "desk-1" };

    TEST(RequestsInProgress, AreTrackedUntilTheyEnd)
    {
        InFlightRequestTracker tracker;
        const InFlightRequestTracker::Entry first(tracker, server, 7);
        {
            const InFlightRequestTracker::Entry same(tracker, server, 7);
            EXPECT_EQ(tracker.fingerprintsOn(server), (Fingerprints { 7, 7 }));
        }
        EXPECT_EQ(tracker.fingerprintsOn(server), Fingerprints { 7 });
        EXPECT_TRUE(tracker.fingerprintsOn({ "desk", "desk-2" }).empty());
    }

    TEST(RequestsInProgress, CountOnceForACrashOfTheirServerHoweverLateEachNoticesIt)
    {
        InFlightRequestTracker tracker;
        const InFlightRequestTracker::Entry early(tracker, server, 7);
        const InFlightRequestTracker::Entry late(tracker, server, 8);
        EXPECT_EQ(tracker.takeForCrash(server), (Fingerprints { 7, 8 }));
        EXPECT_TRUE(tracker.takeForCrash(server).empty());
        const InFlightRequestTracker::Entry again(tracker, server, 7);
        EXPECT_EQ(tracker.takeForCrash(server), Fingerprints { 7 });
    }

} // namespace
} // namespace yuccashift
