#include "yuccashift/membership/load_group.hpp"

#include "peer_types.h"
#include "yuccashift/membership/packed_loads.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace yuccashift {
namespace {

    std::vector<InstanceId> instances(std::size_t count)
    {
        std::vector<InstanceId> names;
        for (std::size_t n = 0; n < count; ++n)
            names.push_back("entry-" + std::to_string(n));
        return names;
    }

    TEST(ALoadGroup, IsTheWholeRegionIfItIsSmall)
    {
        EXPECT_EQ(loadGroupPeers("entry-3", "sofia", instances(9)).size(), 8u);
        EXPECT_TRUE(loadGroupPeers("entry-0", "sofia", instances(1)).empty());
        EXPECT_TRUE(loadGroupPeers("unknown", "sofia", instances(9)).empty());
    }

    TEST(ALoadGroup, IsTheSameForAllItsMembersInALargeRegion)
    {
        const auto live = instances(154);
        std::map<InstanceId, std::set<InstanceId>> groups;
        for (const auto& self : live) {
            const auto others = loadGroupPeers(self, "sofia", live);
            EXPECT_LT(others.size(), maxLoadGroupSize);
            EXPECT_GE(others.size(), maxLoadGroupSize / 2);
            groups[self] = { others.begin(), others.end() };
        }
        for (const auto& [self, others] : groups) {
            for (const auto& other : others)
                EXPECT_TRUE(groups.at(other).contains(self));
        }
    }

    TEST(ALoadGroup, ChangesLittleWhenOneInstanceLeaves)
    {
        auto live = instances(150);
        std::map<InstanceId, std::vector<InstanceId>> before;
        for (const auto& self : live)
            before[self] = loadGroupPeers(self, "sofia", live);
        live.erase(live.begin() + 70);
        std::size_t moved = 0;
        for (const auto& self : live) {
            const auto now = loadGroupPeers(self, "sofia", live);
            const auto kept = std::ranges::count_if(now, [&](const auto& other) { return std::ranges::find(before[self], other) != before[self].end(); });
            moved += now.size() - static_cast<std::size_t>(kept);
        }
        // Each of the ten groups passes at most one member to the next group.
        EXPECT_LE(moved, 10 * 2 * maxLoadGroupSize);
    }

    TEST(ALoadGroup, SendsLessOftenIfMessagesAreLarger)
    {
        EXPECT_EQ(loadReportInterval(7, 100), milliseconds(500));
        EXPECT_GT(loadReportInterval(15, 476), seconds(3));
        EXPECT_EQ(loadReportInterval(15, 10000), seconds(5));
    }

    wire::BackendLoad makeLoad(std::int64_t backend, std::int32_t scale)
    {
        wire::BackendLoad load;
        load.backend = backend;
        load.running = 3 * scale;
        load.waiting = scale;
        load.queuedTokens = 1000 * scale;
        load.decodeTokensPerSecond = 90 * scale;
        load.ageMs = 300 * scale;
        load.leaving = scale % 2 == 1;
        return load;
    }

    TEST(PackedLoads, KeepAllFieldsWithinTheirAccuracy)
    {
        std::vector<wire::BackendLoad> loads(40);
        for (std::int32_t scale = 0; scale < std::ssize(loads); ++scale)
            loads[static_cast<std::size_t>(scale)] = makeLoad(std::int64_t(-7) << scale, scale);
        const auto packed = packLoads(loads);
        EXPECT_EQ(packed.size(), loads.size() * packedLoadBytes);
        const auto unpacked = unpackLoads(packed);
        ASSERT_EQ(unpacked.size(), loads.size());
        for (std::size_t n = 0; n < loads.size(); ++n) {
            EXPECT_EQ(unpacked[n].backend, loads[n].backend);
            EXPECT_EQ(unpacked[n].running, loads[n].running);
            EXPECT_EQ(unpacked[n].waiting, loads[n].waiting);
            EXPECT_EQ(unpacked[n].leaving, loads[n].leaving);
            EXPECT_NEAR(unpacked[n].queuedTokens, loads[n].queuedTokens, loads[n].queuedTokens * 0.05);
            EXPECT_NEAR(unpacked[n].decodeTokensPerSecond, loads[n].decodeTokensPerSecond, loads[n].decodeTokensPerSecond * 0.05);
            EXPECT_LE(loads[n].ageMs - unpacked[n].ageMs, 200);
        }
    }

    TEST(PackedLoads, ClampValuesOutOfRange)
    {
        wire::BackendLoad load;
        load.running = 1 << 30;
        load.waiting = -4;
        load.queuedTokens = std::numeric_limits<std::int32_t>::max();
        load.ageMs = 1 << 30;
        const auto unpacked = unpackLoads(packLoads(std::span(&load, 1)));
        ASSERT_EQ(unpacked.size(), 1u);
        EXPECT_EQ(unpacked[0].running, 255);
        EXPECT_EQ(unpacked[0].waiting, 0);
        EXPECT_GT(unpacked[0].queuedTokens, 2000000000);
        EXPECT_EQ(unpacked[0].ageMs, 25400);
    }

    TEST(PackedLoads, IgnoreTrailingBytesAndExcessEntries)
    {
        EXPECT_TRUE(unpackLoads("short").empty());
        EXPECT_EQ(unpackLoads(std::string(2 * packedLoadBytes + 5, '\xff')).size(), 2u);
        EXPECT_EQ(unpackLoads(std::string((maxPackedLoads + 9) * packedLoadBytes, 'x')).size(), maxPackedLoads);
    }

} // namespace
} // namespace yuccashift
