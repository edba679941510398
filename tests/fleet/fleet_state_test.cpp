#include "tests/support/fakes/fleet_items.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct AWorld : testing::Test, FleetObserver {
        AWorld() { world.setObserver(this); }

        void publish(const std::string& key, const std::string& value)
        {
            const std::vector<ItemChange> changes { { key, value, ++revision } };
            world.apply(changes, revision);
        }
        void remove(const std::string& key)
        {
            const std::vector<ItemChange> changes { { key, std::nullopt, ++revision } };
            world.apply(changes, revision);
        }
        void publishServers(int count)
        {
            for (int n = 0; n < count; ++n)
                publish("s" + std::to_string(n), "server draft 10.0.0.1:80 hall ready 1 0 4");
        }

        void onServerGone(const BackendServer& server) override { gone.push_back(server.identity.id); }
        void onServerAdded(const BackendServer& server) override { added.push_back(server.identity.id); }
        void onConfig(const RouteIndex&) override { ++configs; }

        VirtualClock clock;
        test::WordItems items;
        FleetState world { clock, items };
        std::int64_t revision = 0;
        std::vector<std::string> gone;
        std::vector<std::string> added;
        int configs = 0;
    };

    TEST_F(AWorld, NeverGoesBackToAnOlderConfiguration)
    {
        publish("config", "config 5");
        publish("config", "config 3");
        EXPECT_EQ(world.configVersion(), 5);
        EXPECT_EQ(configs, 1);
        publish("config", "config 9");
        EXPECT_EQ(world.configVersion(), 9);
    }

    TEST_F(AWorld, KeepsItsConfigurationWhenTheItemBecomesUnreadable)
    {
        publish("config", "config 5");
        publish("config", "nonsense");
        EXPECT_EQ(world.configVersion(), 5);
    }

    TEST_F(AWorld, TellsTheStartsOfAServerWithOneIdApart)
    {
        publish("s", "server draft 10.0.0.1:80 hall ready 1 0 4");
        const auto first = world.servers().at("s").identityHash;
        publish("s", "server draft 10.0.0.1:80 hall ready 2 3000 4");
        const auto& second = world.servers().at("s");
        EXPECT_NE(first, second.identityHash);
        EXPECT_EQ(gone, std::vector<std::string> { "s" });
        EXPECT_EQ(second.coldUntil, clock.now() + seconds(3));
    }

    TEST_F(AWorld, NamesNoServerByAnEntryOfAnotherWriter)
    {
        publishServers(2);
        publish("s0", "server draft");
        publish("s9", "garbage");
        EXPECT_FALSE(world.servers().contains("s0"));
        EXPECT_FALSE(world.servers().contains("s9"));
        EXPECT_TRUE(world.servers().contains("s1"));
    }

    TEST_F(AWorld, StopsUsingAServerWhoseEntryIsRemoved)
    {
        publishServers(5);
        remove("s3");
        EXPECT_FALSE(world.servers().contains("s3"));
        EXPECT_EQ(gone, std::vector<std::string> { "s3" });
    }

    TEST_F(AWorld, HoldsRemovalsForTheReturnOfTheListAndNoLonger)
    {
        publishServers(5);
        world.deferRemovals();
        remove("s0");
        EXPECT_TRUE(world.servers().contains("s0"));
        clock.advance(milliseconds(1900));
        world.tick();
        EXPECT_TRUE(world.servers().contains("s0"));
        clock.advance(milliseconds(200));
        world.tick();
        EXPECT_FALSE(world.servers().contains("s0"));
    }

    TEST_F(AWorld, KeepsAServerThatComesBackWhileItsRemovalIsHeld)
    {
        publishServers(5);
        world.deferRemovals();
        remove("s0");
        publish("s0", "server draft 10.0.0.1:80 hall ready 1 0 4");
        clock.advance(seconds(3));
        world.tick();
        EXPECT_TRUE(world.servers().contains("s0"));
    }

    TEST_F(AWorld, TakesAServerThatAnnouncedItsLeavingAtItsWordDuringAHold)
    {
        publishServers(5);
        publish("s0", "server draft 10.0.0.1:80 hall draining 1 0 4");
        world.deferRemovals();
        remove("s0");
        EXPECT_FALSE(world.servers().contains("s0"));
    }

    TEST_F(AWorld, DoesNotBelieveThatMostServersVanishAtOnce)
    {
        publishServers(6);
        std::vector<ItemChange> changes;
        changes.reserve(4);
        for (int n = 0; n < 4; ++n)
            changes.push_back({ "s" + std::to_string(n), std::nullopt, ++revision });
        world.apply(changes, revision);
        EXPECT_EQ(world.servers().size(), 6u);
        clock.advance(milliseconds(2100));
        world.tick();
        EXPECT_EQ(world.servers().size(), 2u);
    }

    TEST_F(AWorld, KnowsEvacuatedDataCentresUntilTheyAreTakenBack)
    {
        publish("e", "evacuate hall");
        EXPECT_TRUE(world.evacuated("hall"));
        EXPECT_FALSE(world.evacuated("annex"));
        remove("e");
        EXPECT_FALSE(world.evacuated("hall"));
    }

    TEST_F(AWorld, LearnsFromAPeerWhatTheStoreDidNotTell)
    {
        publish("config", "config 5");
        publishServers(3);
        const std::vector<ItemChange> snapshot {
            { "config", "config 8", 40 },
            { "s0", "server draft 10.0.0.1:80 hall ready 1 0 4", 2 },
            { "s1", "server draft 10.0.0.1:80 hall draining 1 0 4", 41 },
        };
        world.replaceAll(snapshot, 50);
        EXPECT_EQ(world.configVersion(), 8);
        EXPECT_TRUE(world.servers().at("s1").draining);
        EXPECT_FALSE(world.servers().contains("s2"));
    }

} // namespace
} // namespace yuccashift
