#include "yuccashift/orders/desired_placement.hpp"
#include "yuccashift/orders/load_pacer.hpp"
#include "yuccashift/orders/order_planner.hpp"
#include "yuccashift/orders/ownership.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    DocumentPtr modelDocument(ServiceName service, Revision revision, std::uint16_t port)
    {
        Document document;
        document.service = std::move(service);
        document.revision = revision;
        document.kind = ServiceKind::Model;
        document.models = { { "m", "2", { "tax" } }, { "n", "1", {} } };
        BackendSpec backend;
        backend.name = "b";
        backend.region = "sofia";
        backend.address = { "127.0.0.1", port };
        backend.models = { "m" };
        document.backends = { backend };
        return std::make_shared<const Document>(std::move(document));
    }

    struct APlacement : testing::Test {
        DocumentPtr a = modelDocument("a", 4, 1);
        DocumentPtr b = modelDocument("b", 9, 2);
    };

    TEST_F(APlacement, DoesNotDependOnTheOrderOfTheDocuments)
    {
        const std::vector forward { a, b };
        const std::vector backward { b, a };
        EXPECT_EQ(desiredPlacement(forward), desiredPlacement(backward));
        EXPECT_EQ(desiredPlacement(forward).size(), 2U);
    }

    TEST_F(APlacement, UsesTheRevisionAsFencingNumberAndOnlyTheModelsOfTheBackend)
    {
        const auto engine = desiredPlacement(std::vector { b }).at(0);
        EXPECT_EQ(engine.fence, 9U);
        ASSERT_EQ(engine.models.size(), 1U);
        EXPECT_EQ(engine.models[0].name, "m");
        EXPECT_FALSE(engine.addressShared);
    }

    TEST_F(APlacement, OmitsDeletedDocumentsAndPlainServices)
    {
        auto deleted = *a;
        deleted.deleted = true;
        auto plain = *b;
        plain.kind = ServiceKind::Plain;
        const std::vector documents { std::make_shared<const Document>(deleted), std::make_shared<const Document>(plain) };
        EXPECT_TRUE(desiredPlacement(documents).empty());
    }

    TEST_F(APlacement, MarksAnAddressUsedByTwoDocuments)
    {
        const std::vector documents { a, modelDocument("c", 1, 1) };
        for (const auto& engine : desiredPlacement(documents))
            EXPECT_TRUE(engine.addressShared);
    }

    struct AnOwner : testing::Test {
        const RegionalBackend key { "a", "b", "sofia" };
        const std::vector<RegionalBackend> keys { key };
        std::vector<OwnerCandidate> candidates { { "i1", "sofia" }, { "i2", "sofia" }, { "i3", "varna" } };
        const InstanceId self = ownerOf(key, candidates).value();
        const OwnershipTiming timing { seconds(5), seconds(2) };
        Ownership ownership { self, timing };
        Instant now { seconds(100) };

        void updateFor(int count)
        {
            for (int n = 0; n < count; ++n) {
                now += seconds(1);
                ownership.update(keys, candidates, now);
            }
        }
    };

    TEST_F(AnOwner, IsInTheRegionOfTheServerRegardlessOfTheOrderOfCandidates)
    {
        EXPECT_NE(self, "i3");
        std::ranges::reverse(candidates);
        EXPECT_EQ(ownerOf(key, candidates), self);
        EXPECT_FALSE(ownerOf({ "a", "b", "plovdiv" }, candidates));
    }

    TEST_F(AnOwner, ChangesOnlyWhenItIsNoLongerACandidate)
    {
        auto moreCandidates = candidates;
        for (int n = 0; n < 20; ++n)
            moreCandidates.push_back({ "x" + std::to_string(n), "sofia" });
        const auto owner = ownerOf(key, moreCandidates);
        std::erase_if(moreCandidates, [&](const auto& it) { return it.instance != *owner && it.instance == "x0"; });
        EXPECT_EQ(ownerOf(key, moreCandidates), owner);
        std::erase_if(moreCandidates, [&](const auto& it) { return it.instance == *owner; });
        EXPECT_NE(ownerOf(key, moreCandidates), owner);
    }

    TEST_F(AnOwner, ActsOnlyAfterTheSettlingTime)
    {
        updateFor(5);
        EXPECT_FALSE(ownership.actingSince(key, now));
        updateFor(1);
        EXPECT_EQ(ownership.actingSince(key, now), now);
    }

    TEST_F(AnOwner, SettlesAgainAfterAPause)
    {
        updateFor(10);
        ASSERT_TRUE(ownership.actingSince(key, now));
        now += seconds(30);
        EXPECT_FALSE(ownership.actingSince(key, now)) << "ownership is stale after a pause";
        ownership.update(keys, candidates, now);
        EXPECT_FALSE(ownership.actingSince(key, now)) << "ownership was renewed, but has not settled";
        updateFor(5);
        EXPECT_TRUE(ownership.actingSince(key, now));
    }

    TEST_F(AnOwner, StopsActingAtOnceWhenAnotherInstanceTakesOver)
    {
        updateFor(10);
        std::erase_if(candidates, [&](const auto& it) { return it.instance == self; });
        updateFor(1);
        EXPECT_FALSE(ownership.actingSince(key, now));
    }

    struct AnEngine : testing::Test {
        DesiredEngineState desired = desiredPlacement(std::vector { modelDocument("a", 4, 1) }).at(0);
        OrderPlanner planner { OrderTiming {} };
        Instant now { seconds(100) };
        EngineView view { {}, now };

        std::vector<EngineOrder> next() { return planner.nextOrders(desired, view, Instant(seconds(50)), now); }
        void refreshReportAfter(Duration delay)
        {
            now += delay;
            view.readAt = now;
        }
    };

    TEST_F(AnEngine, GetsOrdersForTheRoleAndModelsItLacks)
    {
        view.report.role = BackendRole::Decode;
        const auto orders = next();
        ASSERT_EQ(orders.size(), 2U);
        EXPECT_EQ(orders[0].kind, OrderKind::SetRole);
        EXPECT_EQ(orders[1].kind, OrderKind::LoadModel);
        for (const auto& order : orders)
            EXPECT_EQ(order.fencingToken, 4U);
    }

    TEST_F(AnEngine, KeepsTheOldVersionUntilTheNewOneIsComplete)
    {
        view.report.models = { { "m", "1", {} }, { "m", "2", {} } };
        ASSERT_EQ(next().at(0).kind, OrderKind::LoadAdapter);
        view.report.models[1].adapters = { "tax" };
        refreshReportAfter(seconds(1));
        const auto orders = next();
        ASSERT_EQ(orders.size(), 1U);
        EXPECT_EQ(orders[0].kind, OrderKind::UnloadModel);
        EXPECT_EQ(orders[0].version, "1");
    }

    TEST_F(AnEngine, KeepsItsModelsIfAnotherDocumentUsesItsAddress)
    {
        desired.addressShared = true;
        view.report.models = { { "m", "2", { "tax" } }, { "other", "1", {} } };
        EXPECT_TRUE(next().empty());
    }

    TEST_F(AnEngine, GetsNoOrdersFromAnInstanceWithAnOlderDocument)
    {
        view.report.highestFencingToken = 5;
        EXPECT_TRUE(next().empty());
    }

    TEST_F(AnEngine, GetsNoOrdersWithoutOwnershipOrOnTheBasisOfAnOldReport)
    {
        EXPECT_TRUE(planner.nextOrders(desired, view, std::nullopt, now).empty());
        EXPECT_TRUE(planner.nextOrders(desired, view, now + seconds(1), now).empty()) << "report read before ownership settled";
        now += seconds(30);
        EXPECT_TRUE(next().empty()) << "report read before a pause";
        view.readAt = now;
        view.report.leaving = true;
        EXPECT_TRUE(next().empty());
    }

    TEST_F(AnEngine, GetsOneOrderAtATimeIfItIgnoresFencingNumbers)
    {
        desired.fenceMode = FenceMode::Ignored;
        view.report.role = BackendRole::Decode;
        EXPECT_EQ(next().size(), 1U);
        view.report.role = BackendRole::Both;
        EXPECT_TRUE(next().empty()) << "not verified by a later report";
        refreshReportAfter(seconds(1));
        EXPECT_EQ(next().at(0).kind, OrderKind::LoadModel);
    }

    TEST_F(AnEngine, GetsRetriesWithExponentialBackOff)
    {
        EXPECT_FALSE(next().empty());
        refreshReportAfter(seconds(9));
        EXPECT_TRUE(next().empty());
        refreshReportAfter(seconds(1));
        EXPECT_FALSE(next().empty());
        refreshReportAfter(seconds(19));
        EXPECT_TRUE(next().empty());
        refreshReportAfter(seconds(1));
        EXPECT_FALSE(next().empty());
    }

    TEST(TheWeightStore, IsNotOverloadedByTheInstancesOfOneRegion)
    {
        constexpr int instances = 5;
        const PacingRate rate { 12, 1 };
        std::vector<LoadPacer> pacers(instances, LoadPacer(rate));
        int loads = 0;
        for (int second = 0; second <= 600; ++second) {
            for (auto& pacer : pacers)
                loads += pacer.tryStartLoad(instances, Instant(seconds(second))) ? 1 : 0;
        }
        EXPECT_LE(loads, 120 + instances);
        EXPECT_GE(loads, 110);
    }

    TEST(TheWeightStore, IsNotOverloadedAfterAPause)
    {
        LoadPacer pacer { { 12, 1 } };
        EXPECT_TRUE(pacer.tryStartLoad(1, Instant(seconds(1))));
        EXPECT_TRUE(pacer.tryStartLoad(1, Instant(seconds(10000))));
        EXPECT_FALSE(pacer.tryStartLoad(1, Instant(seconds(10000))));
        EXPECT_FALSE(pacer.tryStartLoad(1, Instant(seconds(1)))) << "a clock that goes back adds no loads";
    }

} // namespace
} // namespace yuccashift
