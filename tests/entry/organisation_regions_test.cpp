#include "tests/support/fakes/fleet_items.hpp"
#include "yuccashift/entry/dispatch_planner.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    /** An instance of sofia that hears one instance of each other region; each region has a server with room. */
    struct AnInstanceOfOneRegion : testing::Test {
        AnInstanceOfOneRegion()
        {
            settings.instance = "sofia-1";
            settings.region = "sofia";
            std::vector<ItemChange> listing { { "config", "config 1", 2 } };
            items.config.identifiesCallers = true;
            items.config.services["draft"] = {};
            for (const auto* region : { "sofia", "varna", "plovdiv" }) {
                settings.regions["hall-" + std::string(region)] = region;
                listing.push_back({ "s-" + std::string(region), "server draft 10.0.0.1:80 hall-" + std::string(region) + " ready 1 0 6", 3 });
            }
            fleet.replaceAll(listing, 3);
            hear("varna", true);
            hear("plovdiv", true);
        }

        void hear(const std::string& region, bool namesOrganisations)
        {
            fleetwire::Heartbeat beat;
            fleetwire::Profile profile;
            profile.instance = region + "-1";
            profile.region = region;
            beat.__set_profile(profile);
            beat.sender = hashOfInstance(profile.instance);
            beat.incarnation = 1;
            beat.sequence = ++sequence;
            beat.namesOrganisations = namesOrganisations;
            beat.reportsCapacity = true;
            fleetwire::ServiceRoom room;
            room.serviceName = "draft";
            room.waitMs = { 5 };
            room.freeSlots = 6;
            beat.rooms = { room };
            peers.onHeartbeat(beat);
        }

        std::set<RegionName> remoteRegions(const AllowedRegions& allowed)
        {
            std::set<RegionName> regions;
            for (const auto* peer : planner.planRemote(allowed, "draft", work, {}, {}, {}, std::nullopt).peers)
                regions.insert(peer->region);
            return regions;
        }

        SystemClock clock;
        test::WordItems items;
        EntrySettings settings;
        FleetState fleet { clock, items };
        PeerTable peers { clock, "sofia-1" };
        ServerTracker tracker { clock };
        SeededRandom random { 5 };
        DispatchPlanner planner { clock, settings, fleet, tracker, peers, random };
        WorkSize work;
        Route route;
        OrganisationSpec organisation;
        std::int64_t sequence = 0;
    };

    // An organisation whose homes are fewer than its route's must not be sent to the route's other homes.
    TEST_F(AnInstanceOfOneRegion, SendsRequestsOnlyWhereRouteAndOrganisationBothAllow)
    {
        EXPECT_EQ(remoteRegions({ route, &organisation }), (std::set<RegionName> { "varna", "plovdiv" }));
        route.homeRegions = { "sofia", "varna" };
        EXPECT_EQ(remoteRegions({ route, &organisation }), std::set<RegionName> { "varna" });
        organisation.residency = { "varna", "plovdiv" };
        EXPECT_EQ(remoteRegions({ route, &organisation }), std::set<RegionName> { "varna" });
        organisation.residency = { "plovdiv" };
        EXPECT_TRUE(remoteRegions({ route, &organisation }).empty());
    }

    // A prefix would be read in a region that the organisation's requests never reach.
    TEST_F(AnInstanceOfOneRegion, GivesAPrefixAHomeOnlyAmongTheAllowedRegions)
    {
        organisation.residency = { "plovdiv" };
        route.homeRegions = { "varna" };
        for (std::uint64_t prefix = 1; prefix < 50; ++prefix) {
            work.parts = { { prefix, 500 }, { 1000 + prefix, 10 } };
            EXPECT_EQ(planner.prefixHome({ Route {}, &organisation }, "draft", work), "plovdiv");
            EXPECT_EQ(planner.prefixHome({ route, &organisation }, "draft", work), std::nullopt);
        }
        EXPECT_TRUE(planner.canContinue({ route, nullptr }, "draft", {}));
        EXPECT_FALSE(planner.canContinue({ route, &organisation }, "draft", {}));
    }

    // Builds of two versions run side by side: an earlier one would send the request to a server without its organisation.
    TEST_F(AnInstanceOfOneRegion, SendsNoHopToAnInstanceThatWouldNotNameTheOrganisation)
    {
        hear("varna", false);
        EXPECT_EQ(remoteRegions({ route, nullptr }), std::set<RegionName> { "plovdiv" });
        items.config.identifiesCallers = false;
        fleet.applyValue({ "config", "config 2", 4 });
        EXPECT_EQ(remoteRegions({ route, nullptr }), (std::set<RegionName> { "varna", "plovdiv" }));
    }

} // namespace
} // namespace yuccashift
