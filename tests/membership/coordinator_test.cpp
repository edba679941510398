#include "tests/support/mesh.hpp"
#include "yuccashift/membership/exchange.hpp"
#include "yuccashift/membership/region_links.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    using testing::Mesh;

    class Coordinators : public ::testing::Test {
    protected:
        void startRegions(std::size_t lagos, std::size_t sofia)
        {
            m_mesh.addRegion("lagos", lagos);
            m_mesh.addRegion("sofia", sofia);
            m_mesh.list();
            m_mesh.run(seconds(10));
        }

        Liveness livenessSeen(const InstanceId& observer, const InstanceId& instance)
        {
            return m_mesh.at(observer).coordinator->view()->members.at(instance).liveness;
        }

        Mesh m_mesh;
    };

    TEST_F(Coordinators, OfOneRegionSeeEachOtherAsAlive)
    {
        startRegions(9, 2);
        EXPECT_EQ(m_mesh.at("lagos-0").coordinator->view()->liveInRegion.size(), 9u);
    }

    TEST_F(Coordinators, ReportDrainingToTheirRegionAtOnceAndToOtherRegionsWithinSeconds)
    {
        startRegions(9, 9);
        m_mesh.at("lagos-3").coordinator->setDraining();
        m_mesh.run(milliseconds(200));
        EXPECT_EQ(livenessSeen("lagos-0", "lagos-3"), Liveness::Draining);
        m_mesh.run(seconds(8));
        for (int n = 0; n < 9; ++n)
            EXPECT_EQ(livenessSeen("sofia-" + std::to_string(n), "lagos-3"), Liveness::Draining) << n;
    }

    TEST_F(Coordinators, LearnTheIncarnationOfInstancesInOtherRegions)
    {
        startRegions(4, 4);
        m_mesh.add("sofia-2", "sofia", 9);
        m_mesh.list();
        m_mesh.run(seconds(15));
        EXPECT_EQ(m_mesh.at("lagos-1").coordinator->minterState("sofia-2").latestIncarnation, Incarnation { 9 });
        EXPECT_EQ(m_mesh.at("lagos-1").coordinator->minterState("unknown").latestIncarnation, std::nullopt);
    }

    TEST_F(Coordinators, SuspectAPausedInstanceUntilItResumes)
    {
        startRegions(5, 1);
        m_mesh.at("lagos-2").paused = true;
        m_mesh.run(seconds(30));
        EXPECT_EQ(livenessSeen("lagos-0", "lagos-2"), Liveness::Suspect);
        m_mesh.at("lagos-2").paused = false;
        m_mesh.run(seconds(3));
        EXPECT_EQ(livenessSeen("lagos-0", "lagos-2"), Liveness::Alive);
    }

    TEST_F(Coordinators, DoNotConfirmTheirViewAfterAPauseUntilAnotherInstanceIsHeard)
    {
        startRegions(3, 1);
        auto& node = m_mesh.at("lagos-2");
        EXPECT_TRUE(node.coordinator->view()->confirmed);
        node.stopped = true;
        m_mesh.run(seconds(30));
        node.coordinator->tick(m_mesh.now());
        EXPECT_FALSE(node.coordinator->view()->confirmed);
        EXPECT_EQ(node.coordinator->view()->pauseGeneration, 1u);
        EXPECT_EQ(node.coordinator->view()->liveInRegion, std::vector<InstanceId> { "lagos-2" });
        node.stopped = false;
        m_mesh.run(seconds(2));
        EXPECT_TRUE(node.coordinator->view()->confirmed);
    }

    TEST_F(Coordinators, TellAnEarlierIncarnationThatItIsSuperseded)
    {
        startRegions(3, 1);
        auto& replaced = m_mesh.at("lagos-1");
        const auto earlierStore = std::move(replaced.store);
        const auto earlierQuarantine = std::move(replaced.quarantine);
        const auto earlierPromptQuarantine = std::move(replaced.promptQuarantine);
        const auto earlier = std::move(replaced.coordinator);
        m_mesh.add("lagos-1", "lagos", 2);
        m_mesh.list();
        m_mesh.run(seconds(5));
        OutgoingFrames answers;
        for (const auto& outgoing : earlier->tick(m_mesh.now())) {
            if (outgoing.to == "lagos-0")
                answers = m_mesh.at("lagos-0").coordinator->receive("lagos-1", outgoing.frame, m_mesh.now());
            if (!answers.empty())
                break;
        }
        ASSERT_FALSE(answers.empty());
        EXPECT_FALSE(earlier->superseded());
        earlier->receive("lagos-0", answers.front().frame, m_mesh.now());
        EXPECT_TRUE(earlier->superseded());
    }

    TEST_F(Coordinators, IgnoreAHeartbeatThatNamesAnotherSender)
    {
        startRegions(3, 1);
        wire::Frame forged;
        forged.heartbeat.sender = toWire({ "lagos-1", 99, "lagos", "lagos-hall", {}, {}, true });
        forged.heartbeat.sequence = 1000;
        forged.__isset.heartbeat = true;
        m_mesh.at("lagos-0").coordinator->receive("lagos-2", forged, m_mesh.now());
        m_mesh.run(seconds(2));
        EXPECT_EQ(livenessSeen("lagos-0", "lagos-1"), Liveness::Alive);
    }

    TEST_F(Coordinators, SendCrashRecordsToAllRegions)
    {
        startRegions(6, 6);
        const std::uint64_t request = 77;
        const std::array inProgress { request };
        m_mesh.at("lagos-0").quarantine->onBackendCrash(1, inProgress, m_mesh.now());
        m_mesh.at("sofia-3").quarantine->onBackendCrash(2, inProgress, m_mesh.now());
        m_mesh.run(seconds(20));
        for (const auto& [instance, node] : m_mesh.nodes())
            EXPECT_TRUE(node.quarantine->isQuarantined(request, m_mesh.now())) << instance;
    }

    // Instances that had not served a request themselves refused it after two crashes, though the others served it in between.
    TEST_F(Coordinators, TellAllRegionsThatARequestWasServedAfterACrash)
    {
        startRegions(6, 6);
        const std::uint64_t request = 77;
        const std::array inProgress { request };
        m_mesh.at("lagos-0").quarantine->onBackendCrash(1, inProgress, m_mesh.now());
        m_mesh.run(seconds(20));
        m_mesh.at("lagos-4").quarantine->onSuccess(request, m_mesh.now());
        m_mesh.run(seconds(20));
        m_mesh.at("sofia-3").quarantine->onBackendCrash(2, inProgress, m_mesh.now());
        m_mesh.run(seconds(20));
        for (const auto& [instance, node] : m_mesh.nodes()) {
            EXPECT_FALSE(node.quarantine->isQuarantined(request, m_mesh.now())) << instance;
            EXPECT_TRUE(node.quarantine->isSuspect(request, m_mesh.now())) << instance << " still knows of the second crash";
        }
    }

    // Requests of which no two are alike crash servers of several regions.
    TEST_F(Coordinators, SendLossesUnderAPartOfAPromptToAllRegions)
    {
        startRegions(6, 6);
        const std::array<std::uint64_t, 3> blocks { 1, 2, 3 };
        std::uint32_t server = 0;
        for (const auto* instance : { "lagos-0", "sofia-3", "lagos-4" }) {
            const auto now = m_mesh.now();
            m_mesh.at(instance).promptQuarantine->onServerLost(++server, partsOfBlocks(blocks), now - milliseconds(100), now);
            m_mesh.run(seconds(2));
        }
        m_mesh.run(seconds(18));
        for (const auto& [instance, node] : m_mesh.nodes())
            EXPECT_EQ(node.promptQuarantine->findQuarantined(partsOfBlocks(blocks), m_mesh.now()), hashOfPart(2)) << instance;
    }

    TEST_F(Coordinators, OnEachSideOfAPartitionSeeEachOtherAsAlive)
    {
        startRegions(6, 1);
        const auto side = [](const auto& node) { return node.info.instance < "lagos-3"; };
        m_mesh.setCut([&](const auto& from, const auto& to) { return side(from) != side(to); });
        m_mesh.run(seconds(20));
        EXPECT_EQ(m_mesh.at("lagos-0").coordinator->view()->liveInRegion, (std::vector<InstanceId> { "lagos-1", "lagos-2", "lagos-0" }));
        EXPECT_EQ(livenessSeen("lagos-0", "lagos-4"), Liveness::Suspect);
        m_mesh.setCut({});
        m_mesh.run(seconds(5));
        EXPECT_EQ(m_mesh.at("lagos-0").coordinator->view()->liveInRegion.size(), 6u);
    }

    TEST(RegionLinks, HaveTwoSendersPerPairThatTakeTurns)
    {
        const std::vector<InstanceId> live { "a", "b", "c", "d", "e" };
        const std::vector<InstanceId> remote { "x", "y", "z" };
        std::map<InstanceId, int> sent;
        std::map<InstanceId, int> received;
        for (std::uint64_t round = 0; round < 8; ++round) {
            for (const auto& self : live) {
                const auto to = selectCrossRegionReceiver(self, "lagos", "sofia", live, remote, round, SenderSelection::RoundRobin);
                if (!to)
                    continue;
                ++sent[self];
                ++received[*to];
            }
        }
        ASSERT_EQ(sent.size(), sendersPerRegionPair);
        EXPECT_EQ(received.size(), sendersPerRegionPair);
        for (const auto& [instance, count] : sent)
            EXPECT_EQ(count, 4) << instance;
    }

    TEST(HeartbeatBudgets, KeepTheByteRateInRegionsOfEverySize)
    {
        for (const std::size_t members : { 2u, 3u, 9u, 15u, 30u, 50u }) {
            const auto budget = regionBudget(members);
            EXPECT_GE(budget.summaries, 1u);
            const auto bytes = heartbeatBaseBytes + 36 * budget.summaries + 20 * (budget.demands + budget.regionDemands);
            const std::chrono::duration<double> interval = heartbeatInterval(members);
            const auto perSecond = static_cast<double>(bytes * (members - 1)) / interval.count();
            EXPECT_LE(perSecond, regionBytesPerSecond * 1.1) << members;
        }
    }

} // namespace
} // namespace yuccashift
