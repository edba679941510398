#include "tests/support/fakes/fleet_items.hpp"
#include "yuccashift/entry/region_acceptance.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    constexpr std::size_t urgent = 0;
    constexpr std::size_t lessUrgent = 2;

    /** A region of ten engines, whose service has an urgent route and a less urgent one. */
    struct ARegionShortOfEngines : testing::Test {
        ARegionShortOfEngines()
        {
            settings.instance = "i1";
            settings.region = "here";
            settings.regions = { { "hall", "here" }, { "annex", "here" } };
            items.config.services["draft"].engine = true;
        }

        void addRoute(std::uint32_t priority, milliseconds timeLimit)
        {
            Route route;
            route.name = "r" + std::to_string(items.config.routes.size());
            route.priority = priority;
            route.timeLimit = timeLimit;
            route.services = { { "draft", 1 } };
            items.config.routes.push_back(route);
        }

        void publish(std::int64_t version)
        {
            std::vector<ItemChange> listing { { "config", "config " + std::to_string(version), version } };
            for (int n = 0; n < 10; ++n)
                listing.push_back({ "s" + std::to_string(n), "server draft 10.0.0.1:80 " + std::string(n < 5 ? "hall" : "annex") + " ready 1 0 6", version });
            fleet.replaceAll(listing, version);
        }

        void demand(std::size_t priority, double engines)
        {
            PromptLoads loads {};
            loads[acceptanceLevel(priority, false)] = engines;
            demands.setPeer("peer-" + std::to_string(priority), { { "draft", loads } });
        }

        double acceptedShare(std::size_t priority)
        {
            const auto* basis = acceptance.basisFor("draft");
            return basis ? basis->shares[acceptanceLevel(priority, false)] : 1;
        }

        VirtualClock clock;
        test::WordItems items;
        EntrySettings settings;
        FleetState fleet { clock, items };
        PeerTable peers { clock, "i1" };
        ServerTracker tracker { clock };
        SeededRandom random { 7 };
        DispatchPlanner planner { clock, settings, fleet, tracker, peers, random };
        PromptDemand demands { clock };
        RegionAcceptance acceptance { clock, fleet, tracker, planner, demands };
    };

    // A crowd of short, less urgent requests beside long, urgent streams.
    TEST_F(ARegionShortOfEngines, RefusesTheLessUrgentWhoseMoreUrgentStreamsTakeLonger)
    {
        addRoute(urgent, seconds(15));
        addRoute(lessUrgent, seconds(3));
        publish(1);
        demand(urgent, 5);
        demand(lessUrgent, 20);
        EXPECT_EQ(acceptedShare(urgent), 1);
        EXPECT_GT(acceptedShare(lessUrgent), 0);
        EXPECT_LT(acceptedShare(lessUrgent), 0.2);
        // Instances that fell silent are not counted for long: their callers are at others by then.
        clock.advance(seconds(10));
        EXPECT_EQ(acceptedShare(lessUrgent), 1);
    }

    TEST_F(ARegionShortOfEngines, LeavesUrgentRequestsThatAreShortToTheEngines)
    {
        addRoute(urgent, seconds(3));
        addRoute(lessUrgent, seconds(15));
        publish(1);
        demand(lessUrgent, 20);
        EXPECT_EQ(acceptance.basisFor("draft"), nullptr);
    }

    TEST_F(ARegionShortOfEngines, LimitsNoPlainService)
    {
        items.config.services["draft"].engine = false;
        addRoute(urgent, seconds(15));
        addRoute(lessUrgent, seconds(3));
        publish(1);
        EXPECT_EQ(acceptance.basisFor("draft"), nullptr);
    }

    TEST_F(ARegionShortOfEngines, FollowsAConfigurationThatChangesTheTimeLimits)
    {
        addRoute(urgent, seconds(15));
        addRoute(lessUrgent, seconds(3));
        publish(1);
        ASSERT_NE(acceptance.basisFor("draft"), nullptr);
        items.config.routes[1].timeLimit = seconds(15);
        publish(2);
        EXPECT_EQ(acceptance.basisFor("draft"), nullptr);
    }

    // Half of the engines are lost at once.
    TEST_F(ARegionShortOfEngines, CountsNoEngineThatCannotBeUsed)
    {
        addRoute(urgent, seconds(15));
        addRoute(lessUrgent, seconds(3));
        publish(1);
        const auto room = acceptance.basisFor("draft")->room;
        for (const auto& [key, server] : fleet.servers()) {
            if (server.datacentre == "annex")
                tracker.markSuspect(server.identityHash);
        }
        clock.advance(seconds(1));
        EXPECT_DOUBLE_EQ(acceptance.basisFor("draft")->room, room / 2);
        const std::vector<ItemChange> evacuation { { "evacuate", "evacuate hall", 2 } };
        fleet.apply(evacuation, 2);
        clock.advance(seconds(1));
        EXPECT_EQ(acceptance.basisFor("draft")->room, 0);
    }

} // namespace
} // namespace yuccashift
