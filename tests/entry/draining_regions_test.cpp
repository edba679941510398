#include "tests/support/fakes/fleet_items.hpp"
#include "yuccashift/entry/dispatch_planner.hpp"
#include "yuccashift/fleet/datagram.hpp"

#include <gtest/gtest.h>
#include <set>

namespace yuccashift {
namespace {

    /** What one instance of the region `kigali` plans, whose only server of a plain service has left. */
    struct ARegionThatRestartsItsInstances : testing::Test {
        ARegionThatRestartsItsInstances()
        {
            settings.instance = "kigali-1";
            settings.region = "kigali";
            settings.regions = { { "hall-a", "kigali" }, { "hall-b", "johannesburg" } };
            items.config.services["ledger"] = {};
            items.config.routes.emplace_back();
            fleet.replaceAll(std::vector<ItemChange> { { "config", "config 1", 2 }, { "s1", "server ledger 10.0.0.1:80 hall-b ready 1 0 6", 3 } }, 3);
            peers.setHeartbeatTimeout(seconds(60));
        }

        /** Hears an instance of the other region. */
        void hear(const InstanceId& instance, bool draining, std::int32_t freeSlots = 6)
        {
            fleetwire::Profile profile;
            profile.instance = instance;
            profile.region = "johannesburg";
            profile.ip = "10.0.0.2";
            fleetwire::Heartbeat beat;
            beat.__set_profile(profile);
            beat.sender = hashOfInstance(instance);
            beat.incarnation = 1;
            beat.sequence = ++m_heartbeats;
            beat.draining = draining;
            beat.reportsCapacity = true;
            fleetwire::ServiceRoom room;
            room.serviceName = "ledger";
            room.freeSlots = freeSlots;
            room.waitMs = { 60 };
            beat.rooms.push_back(room);
            peers.onHeartbeat(beat);
        }

        /** The instances that a request may be forwarded to. */
        std::set<InstanceId> planned(const std::set<InstanceId>& tried = {})
        {
            const auto& route = fleet.routes()->config().routes.front();
            std::set<InstanceId> instances;
            for (int n = 0; n < 20; ++n) {
                for (const auto* peer : planner.planRemote(AllowedRegions(route, nullptr), "ledger", {}, tried, {}, {}, {}).peers)
                    instances.insert(peer->instance);
            }
            return instances;
        }

        VirtualClock clock;
        EntrySettings settings;
        test::WordItems items;
        FleetState fleet { clock, items };
        PeerTable peers { clock, "kigali-1" };
        ServerTracker tracker { clock };
        SeededRandom random { 7 };
        DispatchPlanner planner { clock, settings, fleet, tracker, peers, random };

    private:
        std::int64_t m_heartbeats = 0;
    };

    // The region's servers stood empty for three seconds, and what had no other server was refused.
    TEST_F(ARegionThatRestartsItsInstances, IsReachedThroughThoseThatDrainWhileNoOtherRuns)
    {
        hear("johannesburg-1", true);
        hear("johannesburg-2", true);
        EXPECT_EQ(planned(), (std::set<InstanceId> { "johannesburg-1", "johannesburg-2" }));
        // An instance that has refused the request, because it ends too soon, is not asked again.
        EXPECT_EQ(planned({ "johannesburg-1" }), (std::set<InstanceId> { "johannesburg-2" }));
    }

    TEST_F(ARegionThatRestartsItsInstances, GetsNothingThroughThoseThatDrainOnceAnotherRuns)
    {
        hear("johannesburg-1", true);
        hear("johannesburg-2", false);
        EXPECT_EQ(planned(), (std::set<InstanceId> { "johannesburg-2" }));
        hear("johannesburg-2", false, 0);
        EXPECT_EQ(planned().size(), 1u);
    }

    TEST_F(ARegionThatRestartsItsInstances, GetsNothingWhileItsServersAreFull)
    {
        hear("johannesburg-1", true, 0);
        EXPECT_TRUE(planned().empty());
    }

} // namespace
} // namespace yuccashift
