#include "tests/support/mesh.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace yuccashift {
namespace {

    using testing::documentText;
    using testing::Mesh;
    using testing::tombstoneText;

    // The maximum time that operators allow from publishing a document until it is in force on all instances.
    constexpr Duration maxPropagationTime = seconds(3);

    class ConfigDistribution : public ::testing::Test {
    protected:
        void start(std::size_t lagos, std::size_t sofia)
        {
            m_mesh.addRegion("lagos", lagos);
            m_mesh.addRegion("sofia", sofia);
            m_mesh.list();
            m_mesh.run(seconds(10));
            m_mesh.resetTraffic();
        }

        Duration publish(const InstanceId& at, Revision revision, std::size_t bytes = 0)
        {
            m_mesh.offer(at, documentText("desk", revision, bytes));
            return m_mesh.runUntil([&] { return m_mesh.allHold("desk", revision); }, seconds(30));
        }

        Mesh m_mesh;
    };

    TEST_F(ConfigDistribution, ReachesFiftyInstancesAndAnotherRegionInTime)
    {
        start(50, 5);
        EXPECT_LT(publish("lagos-7", 1), maxPropagationTime);
    }

    TEST_F(ConfigDistribution, SendsAboutOneCopyOfTheTextToEachInstance)
    {
        start(50, 1);
        publish("lagos-7", 1);
        m_mesh.run(seconds(10));
        std::size_t copies = 0;
        std::size_t maxSent = 0;
        for (const auto& [instance, node] : m_mesh.nodes()) {
            copies += node.traffic.receivedDocuments;
            maxSent = std::max(maxSent, node.traffic.sentDocuments);
        }
        EXPECT_LE(copies, 55u);
        EXPECT_LE(maxSent, 6u);
    }

    TEST_F(ConfigDistribution, ReachesAllInstancesInTimeWhenTenPercentOfTheFramesAreLost)
    {
        start(50, 5);
        m_mesh.setLossPercent(10);
        for (Revision revision = 1; revision <= 5; ++revision)
            EXPECT_LT(publish("lagos-7", revision), maxPropagationTime * 2) << revision;
    }

    TEST_F(ConfigDistribution, ReachesAllInstancesInTimeWhenSomeHaveJustStopped)
    {
        start(30, 3);
        for (int n = 0; n < 10; ++n)
            m_mesh.at("lagos-" + std::to_string(n)).stopped = true;
        EXPECT_LT(publish("lagos-20", 1), maxPropagationTime);
    }

    TEST_F(ConfigDistribution, DoesNotWaitForHeartbeatsBelowAStoppedParentInTheTree)
    {
        start(50, 0);
        m_mesh.at("lagos-3").stopped = true;
        // Each revision has a different tree; in some of them the stopped instance has children.
        for (Revision revision = 1; revision <= 12; ++revision)
            EXPECT_LT(publish("lagos-20", revision), milliseconds(700)) << revision;
    }

    TEST_F(ConfigDistribution, SendsTheTextOrANoticeToTheChildrenOfTheRootFromAnyFirstInstance)
    {
        ConfigPeers peers;
        for (int n = 0; n < 30; ++n)
            peers.regionInstances.push_back("lagos-" + std::to_string(n));
        std::map<InstanceId, std::set<InstanceId>> textReceivers;
        std::map<InstanceId, std::set<InstanceId>> receivers;
        for (const auto& self : peers.regionInstances) {
            DocumentStore store;
            SeededRandom random(1);
            ConfigDistributor distributor(store, random);
            peers.self = self;
            OutgoingFrames out;
            EXPECT_TRUE(distributor.offer(documentText("desk", 1), {}, peers, Instant {}, out));
            for (const auto& outgoing : out) {
                receivers[self].insert(outgoing.to);
                if (!outgoing.frame.documentPush.documents.empty())
                    textReceivers[self].insert(outgoing.to);
            }
        }
        const auto isRoot = [&](const InstanceId& instance) {
            return std::ranges::all_of(peers.regionInstances, [&](const auto& self) { return self == instance || textReceivers[self].contains(instance); });
        };
        const auto root = std::ranges::find_if(peers.regionInstances, isRoot);
        ASSERT_NE(root, peers.regionInstances.end());
        EXPECT_EQ(textReceivers[*root].size(), ConfigDistributor::treeFanOut);
        for (const auto& child : textReceivers[*root]) {
            for (const auto& self : peers.regionInstances)
                EXPECT_TRUE(self == child || receivers[self].contains(child)) << self;
        }
    }

    TEST_F(ConfigDistribution, DoesNotRevertToAnOlderRevisionFromAStaleSource)
    {
        start(5, 2);
        publish("lagos-0", 4);
        m_mesh.offer("lagos-3", documentText("desk", 2));
        m_mesh.run(seconds(5));
        EXPECT_TRUE(m_mesh.allHold("desk", 4));
    }

    TEST_F(ConfigDistribution, KeepsADeletionThatAnInstanceHasMissed)
    {
        start(5, 2);
        publish("lagos-0", 1);
        m_mesh.setCut([](const auto& from, const auto& to) { return (from.info.instance == "lagos-4") != (to.info.instance == "lagos-4"); });
        m_mesh.offer("lagos-0", tombstoneText("desk", 2));
        m_mesh.run(seconds(10));
        EXPECT_FALSE(m_mesh.at("lagos-4").store->find("desk")->deleted);
        m_mesh.setCut({});
        m_mesh.run(seconds(10));
        EXPECT_TRUE(m_mesh.allHold("desk", 2));
        EXPECT_TRUE(m_mesh.at("lagos-4").store->find("desk")->deleted);
    }

    TEST_F(ConfigDistribution, MergesTheNewestRevisionsOfBothSidesAfterAPartition)
    {
        start(6, 6);
        m_mesh.setCut([](const auto& from, const auto& to) { return from.info.region != to.info.region; });
        m_mesh.offer("lagos-0", documentText("desk", 3));
        m_mesh.offer("sofia-0", documentText("gate", 5));
        m_mesh.run(seconds(60));
        EXPECT_EQ(m_mesh.at("sofia-3").store->find("desk"), nullptr);
        m_mesh.setCut({});
        const auto allHoldBoth = [&] { return m_mesh.allHold("desk", 3) && m_mesh.allHold("gate", 5); };
        EXPECT_LT(m_mesh.runUntil(allHoldBoth, seconds(60)), seconds(10));
    }

    TEST_F(ConfigDistribution, ConvergesWhenTwoTextsHaveTheSameRevision)
    {
        start(4, 4);
        m_mesh.offer("lagos-0", documentText("desk", 3, 1000));
        m_mesh.offer("sofia-0", documentText("desk", 3, 2000));
        m_mesh.run(seconds(10));
        const auto digest = m_mesh.at("lagos-0").store->digest();
        std::size_t reports = 0;
        for (const auto& [instance, node] : m_mesh.nodes()) {
            EXPECT_EQ(node.store->digest(), digest) << instance;
            reports += node.store->conflicts().size();
        }
        EXPECT_GT(reports, 0u);
    }

    TEST_F(ConfigDistribution, BringsAStartingInstanceUpToDateBeforeItIsReady)
    {
        start(5, 2);
        publish("lagos-0", 7);
        m_mesh.add("lagos-2", "lagos", 2);
        m_mesh.list();
        const auto& node = m_mesh.at("lagos-2");
        EXPECT_FALSE(node.coordinator->ready());
        m_mesh.runUntil([&] { return node.coordinator->ready(); }, seconds(10));
        ASSERT_TRUE(node.coordinator->ready());
        ASSERT_NE(node.store->find("desk"), nullptr);
        EXPECT_EQ(node.store->find("desk")->revision, 7u);
    }

    TEST_F(ConfigDistribution, DoesNotForwardTheDocumentsThatAStartingInstanceReceives)
    {
        start(8, 1);
        for (int n = 0; n < 20; ++n)
            m_mesh.offer("lagos-0", documentText("service-" + std::to_string(n), 1));
        m_mesh.run(seconds(10));
        m_mesh.add("lagos-2", "lagos", 2);
        m_mesh.list();
        m_mesh.run(seconds(10));
        EXPECT_EQ(m_mesh.at("lagos-2").store->activeDocuments().size(), 20u);
        EXPECT_EQ(m_mesh.at("lagos-2").traffic.sentDocuments, 0u);
    }

    TEST_F(ConfigDistribution, KeepsAStartingInstanceWaitingForTheInstanceList)
    {
        m_mesh.add("early", "varna");
        m_mesh.run(seconds(1));
        EXPECT_FALSE(m_mesh.at("early").coordinator->ready());
        m_mesh.list();
        m_mesh.run(milliseconds(200));
        EXPECT_TRUE(m_mesh.at("early").coordinator->ready());
    }

    TEST_F(ConfigDistribution, LetsAnInstanceStartAtOnceWithoutPeersAndAfterATimeoutWhenItsPeersAreUnreachable)
    {
        m_mesh.add("alone", "varna");
        m_mesh.list();
        m_mesh.run(milliseconds(300));
        EXPECT_TRUE(m_mesh.at("alone").coordinator->ready());

        m_mesh.add("other", "varna");
        m_mesh.setCut([](const auto&, const auto&) { return true; });
        m_mesh.list();
        m_mesh.run(seconds(1));
        EXPECT_FALSE(m_mesh.at("other").coordinator->ready());
        m_mesh.run(seconds(3));
        EXPECT_TRUE(m_mesh.at("other").coordinator->ready());
    }

    TEST_F(ConfigDistribution, SendsOnlyDigestsWhenNothingChanges)
    {
        start(10, 2);
        publish("lagos-0", 1);
        m_mesh.run(seconds(10));
        m_mesh.resetTraffic();
        m_mesh.run(seconds(30));
        for (const auto& [instance, node] : m_mesh.nodes())
            EXPECT_EQ(node.traffic.sentDocuments, 0u) << instance;
    }

} // namespace
} // namespace yuccashift
