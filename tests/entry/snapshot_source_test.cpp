#include "yuccashift/entry/snapshot_source.hpp"

#include <gtest/gtest.h>
#include <map>

namespace yuccashift {
namespace {

    struct ASnapshotSource : testing::Test {
        void addPeers(int count, const RegionName& region, std::int64_t revision)
        {
            for (int n = 0; n < count; ++n) {
                PeerState peer;
                peer.instance = region + std::to_string(peers.size());
                peer.region = region;
                peer.storeRevision = revision;
                peer.knownRevision = revision;
                peers.push_back(peer);
            }
        }
        std::vector<const PeerState*> pointers() const
        {
            std::vector<const PeerState*> result;
            for (const auto& it : peers)
                result.push_back(&it);
            return result;
        }

        std::vector<PeerState> peers;
        SeededRandom random { 7 };
    };

    TEST_F(ASnapshotSource, IsAnInstanceOfTheOwnRegionIfOneIsAhead)
    {
        addPeers(5, "varna", 90);
        addPeers(1, "sofia", 12);
        for (int n = 0; n < 20; ++n)
            EXPECT_EQ(chooseSnapshotSource(pointers(), "sofia", { 0, 10 }, random)->region, "sofia");
        EXPECT_EQ(chooseSnapshotSource(pointers(), "sofia", { 0, 12 }, random)->region, "varna");
        EXPECT_FALSE(chooseSnapshotSource(pointers(), "sofia", { 0, 90 }, random));
    }

    // All instances of a region fall behind together when the configuration grows.
    TEST_F(ASnapshotSource, DiffersBetweenInstancesThatFallBehindTogether)
    {
        addPeers(20, "sofia", 50);
        std::map<InstanceId, int> fetches;
        for (int n = 0; n < 100; ++n)
            ++fetches[chooseSnapshotSource(pointers(), "sofia", { 0, 10 }, random)->instance];
        for (const auto& [instance, count] : fetches)
            EXPECT_LE(count, 20) << instance;
    }

    TEST_F(ASnapshotSource, IsInTheLatestEraWhateverTheRevisions)
    {
        addPeers(4, "sofia", 900);
        addPeers(1, "sofia", 20);
        for (auto& it : peers)
            it.storeEra = 1;
        peers[4].storeEra = 2;
        EXPECT_EQ(chooseSnapshotSource(pointers(), "sofia", { 1, 900 }, random), &peers[4]);
        EXPECT_FALSE(chooseSnapshotSource(pointers(), "sofia", { 2, 20 }, random));
        // Earlier versions name no era, so that their revisions mean nothing after the first one.
        peers[4].storeEra = 0;
        peers[4].knownRevision = 1000;
        EXPECT_EQ(chooseSnapshotSource(pointers(), "sofia", { 1, 900 }, random), &peers[4]);
        EXPECT_FALSE(chooseSnapshotSource(pointers(), "sofia", { 2, 20 }, random));
    }

    TEST_F(ASnapshotSource, OfAValueIsAnInstanceThatHasIt)
    {
        addPeers(3, "sofia", 50);
        addPeers(1, "varna", 50);
        for (auto& it : peers)
            it.sendsValues = true;
        // Two know of the value but wait for it themselves, and one is of an earlier version.
        peers[0].storeRevision = 40;
        peers[1].storeRevision = 40;
        peers[2].sendsValues = false;
        EXPECT_EQ(chooseValueSource(pointers(), "sofia", { 0, 45 }, random)->region, "varna");
        peers[1].storeRevision = 50;
        EXPECT_EQ(chooseValueSource(pointers(), "sofia", { 0, 45 }, random), &peers[1]);
        EXPECT_FALSE(chooseValueSource(pointers(), "sofia", { 0, 51 }, random));
    }

    TEST(ASnapshotBudget, FollowsTheLinkOfTheMachine)
    {
        VirtualClock clock;
        SnapshotBudget slow(10, clock.now());
        SnapshotBudget fast(200, clock.now());
        slow.charge(1'000'000, clock.now());
        fast.charge(1'000'000, clock.now());
        EXPECT_FALSE(slow.available(clock.now()));
        EXPECT_TRUE(fast.available(clock.now()));
    }

    TEST(ASnapshotBudget, BoundsWhatAnInstanceSendsAtOnce)
    {
        constexpr std::size_t snapshotBytes = 900'000;
        VirtualClock clock;
        SnapshotBudget budget(20, clock.now());
        std::size_t sent = 0;
        for (int n = 0; n < 100; ++n) {
            if (budget.available(clock.now())) {
                budget.charge(snapshotBytes, clock.now());
                sent += snapshotBytes;
            }
        }
        EXPECT_EQ(sent, snapshotBytes);
        clock.advance(seconds(2));
        EXPECT_TRUE(budget.available(clock.now()));
    }

} // namespace
} // namespace yuccashift
