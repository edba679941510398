#include "tests/support/fakes/fleet_items.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct AFleetState : testing::Test, FleetObserver {
        AFleetState() { fleetState.setObserver(this); }

        void publish(const std::string& key, const std::string& value)
        {
            const std::vector<ItemChange> changes { { key, value, ++revision } };
            fleetState.apply(changes, revision);
        }
        void remove(const std::string& key)
        {
            const std::vector<ItemChange> changes { { key, std::nullopt, ++revision } };
            fleetState.apply(changes, revision);
        }
        void publishServers(int count)
        {
            for (int n = 0; n < count; ++n)
                publish("s" + std::to_string(n), "server draft 10.0.0.1:80 hall ready 1 0 4");
        }

        void removeAtOnce(int first, int count)
        {
            std::vector<ItemChange> changes;
            changes.reserve(static_cast<std::size_t>(count));
            for (int n = first; n < first + count; ++n)
                changes.push_back({ "s" + std::to_string(n), std::nullopt, ++revision });
            fleetState.apply(changes, revision);
        }
        /** The store answers again, and was last heard before that time. */
        void comeBackAfter(Duration outage)
        {
            fleetState.onStoreUnreachable(clock.now() - outage);
            fleetState.onStoreReachable();
        }
        void pass(Duration time)
        {
            clock.advance(time);
            fleetState.tick();
        }
        bool uses(const std::string& key) const { return fleetState.servers().contains(key); }

        void onServerGone(const BackendServer& server) override { gone.push_back(server.identity.id); }
        void onServerRemoved(const BackendServer& server) override { removed.push_back(server.identity.id); }
        void onServerAdded(const BackendServer& server) override { added.push_back(server.identity.id); }
        void onConfig(const RouteIndex&) override { ++configs; }

        VirtualClock clock;
        test::WordItems items;
        FleetState fleetState { clock, items };
        std::int64_t revision = 0;
        std::vector<std::string> gone;
        std::vector<std::string> removed;
        std::vector<std::string> added;
        int configs = 0;
    };

    TEST_F(AFleetState, NeverReturnsToAnOlderConfiguration)
    {
        publish("config", "config 5");
        publish("config", "config 3");
        EXPECT_EQ(fleetState.configVersion(), 5);
        EXPECT_EQ(configs, 1);
        publish("config", "config 9");
        EXPECT_EQ(fleetState.configVersion(), 9);
    }

    TEST_F(AFleetState, ReportsTheRemovalOfADrainingServer)
    {
        publish("s", "server draft 10.0.0.1:80 hall ready 1 0 4");
        publish("s", "server draft 10.0.0.1:80 hall draining 1 0 4");
        EXPECT_EQ(gone.size(), 1u);
        EXPECT_TRUE(removed.empty());
        remove("s");
        EXPECT_EQ(removed, std::vector<std::string> { "s" });
    }

    struct StreamsOfAFleetState : AFleetState {
        StreamsOfAFleetState()
        {
            items.config.routes = { route("/stream/", "draft") };
            publish("config", "config 5");
            publish("s1", "server draft 10.0.0.1:80 hall ready 1 0 4 v1");
            publish("s2", "server chat 10.0.0.2:80 hall ready 1 0 4 v7");
            clock.advance(seconds(10));
        }
        static Route route(const std::string& prefix, const std::string& service)
        {
            Route it;
            it.host = "a";
            it.pathPrefix = prefix;
            it.kind = RouteKind::Streaming;
            it.services = { { service, 1 } };
            return it;
        }
        void activate(std::vector<Route> routes)
        {
            items.config.routes = std::move(routes);
            publish("config", "config " + std::to_string(fleetState.configVersion() + 1));
        }
        bool knowsSoftwareOf(const std::string& service) const { return fleetState.softwareVersions().onlySoftware(service, seconds(10), clock.now()).has_value(); }
    };

    // A stream that its caller resumed after a route had moved went on at the other service.
    TEST_F(StreamsOfAFleetState, AreOfUncertainSoftwareAfterTheirRouteMoved)
    {
        EXPECT_TRUE(knowsSoftwareOf("chat"));
        activate({ route("/stream/", "chat") });
        EXPECT_FALSE(knowsSoftwareOf("chat"));
        clock.advance(seconds(10));
        EXPECT_TRUE(knowsSoftwareOf("chat"));
        // Part of the requests leaves the route for a longer prefix.
        activate({ route("/stream/", "chat"), route("/stream/long/", "draft") });
        EXPECT_FALSE(knowsSoftwareOf("draft"));
        clock.advance(seconds(10));
        activate({ route("/stream/", "chat") });
        EXPECT_FALSE(knowsSoftwareOf("chat"));
    }

    TEST_F(StreamsOfAFleetState, StayOfKnownSoftwareWhenOtherRoutesComeAndGo)
    {
        activate({ route("/stream/", "draft"), route("/new/", "chat"), route("/stream/long/", "draft") });
        EXPECT_TRUE(knowsSoftwareOf("draft"));
        activate({ route("/stream/", "draft") });
        EXPECT_TRUE(knowsSoftwareOf("draft"));
        // An entry that is renewed says nothing new.
        publish("s1", "server draft 10.0.0.1:80 hall ready 2 0 4 v1");
        EXPECT_TRUE(knowsSoftwareOf("draft"));
    }

    TEST_F(AFleetState, KnowsNothingOfTheRoutesBeforeItsFirstConfiguration)
    {
        publish("s1", "server draft 10.0.0.1:80 hall ready 1 0 4 v1");
        clock.advance(seconds(10));
        publish("config", "config 5");
        EXPECT_FALSE(fleetState.softwareVersions().onlySoftware("draft", seconds(10), clock.now()));
        FleetState first(clock, items);
        first.onFirstStart();
        const std::vector<ItemChange> changes { { "s1", "server draft 10.0.0.1:80 hall ready 1 0 4 v1", 1 }, { "config", "config 5", 2 } };
        first.apply(changes, 2);
        EXPECT_TRUE(first.softwareVersions().onlySoftware("draft", seconds(10), clock.now()));
    }

    struct AStoreThatComesBackFromACopy : AFleetState {
        AStoreThatComesBackFromACopy()
        {
            fleetState.setFirstEra(1);
            publish("config", "config 5");
            publish("s1", ready);
            publish("s2", ready);
            publish("evacuation", "evacuate annex");
            publish("s1", draining);
            publish("s2", nullptr);
            publish("config", "config 9");
        }
        void publish(const std::string& key, const char* value)
        {
            if (value)
                AFleetState::publish(key, value);
            else
                remove(key);
        }
        void comeBack(const std::vector<ItemChange>& copy) { fleetState.beginEra(2, copy, 4); }

        static constexpr const char* ready = "server draft 10.0.0.1:80 hall ready 1 0 4";
        static constexpr const char* draining = "server draft 10.0.0.1:80 hall draining 1 0 4";
        const std::vector<ItemChange> olderCopy { { "config", "config 5", 1 }, { "s1", ready, 2 }, { "s2", ready, 3 } };
    };

    TEST_F(AStoreThatComesBackFromACopy, DoesNotBringBackAnOlderConfiguration)
    {
        comeBack(olderCopy);
        EXPECT_EQ(fleetState.configVersion(), 9);
    }

    TEST_F(AStoreThatComesBackFromACopy, DoesNotUndoDepartures)
    {
        comeBack(olderCopy);
        EXPECT_TRUE(fleetState.servers().at("s1").draining);
        EXPECT_TRUE(fleetState.servers().at("s2").draining);
        // A server that is still there writes its entry again.
        const std::vector<ItemChange> rewritten { { "s2", "server draft 10.0.0.1:80 hall ready 1 7 4", 5 } };
        fleetState.apply(rewritten, 5);
        EXPECT_FALSE(fleetState.servers().at("s2").draining);
    }

    TEST_F(AStoreThatComesBackFromACopy, KeepsEvacuationsUntilTheyShouldHaveBeenWrittenAgain)
    {
        comeBack(olderCopy);
        EXPECT_TRUE(fleetState.evacuated("annex"));
        clock.advance(milliseconds(1900));
        fleetState.tick();
        EXPECT_TRUE(fleetState.evacuated("annex"));
        clock.advance(milliseconds(200));
        fleetState.tick();
        EXPECT_FALSE(fleetState.evacuated("annex"));
    }

    // The older copy called a cold server warm, which got its full share of requests and crashed.
    TEST_F(AStoreThatComesBackFromACopy, DoesNotMakeAColdServerWarm)
    {
        publish("s4", "server draft 10.0.0.4:80 hall ready 1 0 4");
        publish("s4", "server draft 10.0.0.4:80 hall ready 1 3000 4");
        const auto coldUntil = fleetState.servers().at("s4").coldUntil;
        clock.advance(milliseconds(1250));
        auto copy = olderCopy;
        copy.push_back({ "s4", "server draft 10.0.0.4:80 hall ready 1 0 4", 4 });
        comeBack(copy);
        EXPECT_EQ(fleetState.servers().at("s4").coldUntil, coldUntil);
        // What the server writes itself then holds.
        const std::vector<ItemChange> rewritten { { "s4", "server draft 10.0.0.4:80 hall ready 1 0 4", 5 } };
        fleetState.apply(rewritten, 5);
        EXPECT_LE(fleetState.servers().at("s4").coldUntil, clock.now());
    }

    TEST_F(AStoreThatComesBackFromACopy, KeepsServersUntilTheyShouldHaveBeenWrittenAgain)
    {
        publish("s3", ready);
        comeBack(olderCopy);
        EXPECT_TRUE(fleetState.servers().contains("s3"));
        const std::vector<ItemChange> rewritten { { "s3", ready, 5 } };
        fleetState.apply(rewritten, 5);
        clock.advance(seconds(3));
        fleetState.tick();
        EXPECT_TRUE(fleetState.servers().contains("s3"));
    }

    TEST_F(AFleetState, KeepsItsConfigurationIfTheItemBecomesInvalid)
    {
        publish("config", "config 5");
        publish("config", "nonsense");
        EXPECT_EQ(fleetState.configVersion(), 5);
    }

    TEST_F(AFleetState, DistinguishesTwoRunsOfAServerWithTheSameId)
    {
        publish("s", "server draft 10.0.0.1:80 hall ready 1 0 4");
        const auto first = fleetState.servers().at("s").identityHash;
        publish("s", "server draft 10.0.0.1:80 hall ready 2 3000 4");
        const auto& second = fleetState.servers().at("s");
        EXPECT_NE(first, second.identityHash);
        EXPECT_EQ(gone, std::vector<std::string> { "s" });
        EXPECT_EQ(second.coldUntil, clock.now() + seconds(3));
    }

    // An entry that was written before the server became cold arrived after its answer.
    TEST_F(AFleetState, LeavesAServerColdThatJustSaidSoInAnAnswer)
    {
        publishServers(1);
        fleetState.setCold("s0", clock.now() + seconds(10));
        clock.advance(milliseconds(500));
        publish("s0", "server draft 10.0.0.1:80 hall ready 1 0 4");
        EXPECT_GT(fleetState.servers().at("s0").coldUntil, clock.now());
        clock.advance(seconds(2));
        publish("s0", "server draft 10.0.0.1:80 hall ready 1 0 4 ");
        EXPECT_LE(fleetState.servers().at("s0").coldUntil, clock.now());
    }

    TEST_F(AFleetState, HasNoServerForAnInvalidEntry)
    {
        publishServers(2);
        publish("s0", "server draft");
        publish("s9", "garbage");
        EXPECT_FALSE(fleetState.servers().contains("s0"));
        EXPECT_FALSE(fleetState.servers().contains("s9"));
        EXPECT_TRUE(fleetState.servers().contains("s1"));
    }

    TEST_F(AFleetState, RemovesAServerWhoseEntryIsRemoved)
    {
        publishServers(5);
        remove("s3");
        EXPECT_FALSE(fleetState.servers().contains("s3"));
        EXPECT_EQ(gone, std::vector<std::string> { "s3" });
    }

    TEST_F(AFleetState, DefersRemovalsForTwoSecondsAfterAnOutageOfTheStore)
    {
        publishServers(5);
        comeBackAfter(seconds(10));
        remove("s0");
        EXPECT_TRUE(fleetState.servers().contains("s0"));
        clock.advance(milliseconds(1900));
        fleetState.tick();
        EXPECT_TRUE(fleetState.servers().contains("s0"));
        clock.advance(milliseconds(200));
        fleetState.tick();
        EXPECT_FALSE(fleetState.servers().contains("s0"));
    }

    TEST_F(AFleetState, KeepsAServerThatRegistersAgainWhileItsRemovalIsDeferred)
    {
        publishServers(5);
        comeBackAfter(seconds(10));
        remove("s0");
        publish("s0", "server draft 10.0.0.1:80 hall ready 1 0 4");
        clock.advance(seconds(3));
        fleetState.tick();
        EXPECT_TRUE(fleetState.servers().contains("s0"));
    }

    TEST_F(AFleetState, RemovesADrainingServerAtOnceWhileRemovalsAreDeferred)
    {
        publishServers(5);
        publish("s0", "server draft 10.0.0.1:80 hall draining 1 0 4");
        comeBackAfter(seconds(10));
        remove("s0");
        EXPECT_FALSE(fleetState.servers().contains("s0"));
    }

    TEST_F(AFleetState, DefersTheRemovalIfMostServersDisappearAtOnce)
    {
        publishServers(6);
        std::vector<ItemChange> changes;
        changes.reserve(4);
        for (int n = 0; n < 4; ++n)
            changes.push_back({ "s" + std::to_string(n), std::nullopt, ++revision });
        fleetState.apply(changes, revision);
        EXPECT_EQ(fleetState.servers().size(), 6u);
        clock.advance(milliseconds(2100));
        fleetState.tick();
        EXPECT_EQ(fleetState.servers().size(), 2u);
    }

    // Each cut watch and each further mass removal put all removals that waited off again, without an end.
    TEST_F(AFleetState, PutsNoKnownRemovalOffForWhatDisturbsCallsToTheStoreLater)
    {
        publishServers(8);
        removeAtOnce(0, 4);
        pass(milliseconds(1500));
        comeBackAfter(seconds(2));
        removeAtOnce(4, 3);
        EXPECT_TRUE(uses("s0"));
        pass(milliseconds(600));
        EXPECT_FALSE(uses("s0"));
        EXPECT_TRUE(uses("s4"));
        for (int n = 0; n < 2; ++n) {
            pass(milliseconds(700));
            comeBackAfter(milliseconds(100));
        }
        pass(milliseconds(100));
        EXPECT_FALSE(uses("s4"));
        EXPECT_EQ(fleetState.waitingRemovals(), 0u);
    }

    // A removal that followed a cut watch was deferred as if the store had been away.
    TEST_F(AFleetState, DefersNoRemovalAfterAnOutageInWhichNoEntryCanExpire)
    {
        publishServers(5);
        comeBackAfter(milliseconds(900));
        remove("s0");
        EXPECT_FALSE(uses("s0"));
    }

    // Servers whose entries expired cannot register while the store is away again.
    TEST_F(AFleetState, KeepsServersWhoseEntriesExpiredUntilTheStoreHasAnsweredForTwoSeconds)
    {
        publishServers(5);
        comeBackAfter(seconds(10));
        remove("s0");
        fleetState.onStoreUnreachable(clock.now());
        pass(seconds(8));
        EXPECT_TRUE(uses("s0"));
        fleetState.onStoreReachable();
        pass(milliseconds(1900));
        EXPECT_TRUE(uses("s0"));
        pass(milliseconds(200));
        EXPECT_FALSE(uses("s0"));
    }

    // The store turned only this instance away, and the removal waited although the store answered others all the while.
    TEST_F(AFleetState, RemovesAServerInTimeIfAnotherInstanceHearsTheStore)
    {
        publishServers(5);
        comeBackAfter(seconds(10));
        remove("s0");
        fleetState.onStoreUnreachable(clock.now());
        pass(milliseconds(1900));
        fleetState.confirm(clock.now());
        pass(milliseconds(200));
        EXPECT_FALSE(uses("s0"));
    }

    // Servers that disappear together while the store answers are no part of an outage that follows.
    TEST_F(AFleetState, RemovesServersOfAMassRemovalThoughTheStoreIsAwayThen)
    {
        publishServers(6);
        removeAtOnce(0, 4);
        fleetState.onStoreUnreachable(clock.now());
        pass(milliseconds(2100));
        EXPECT_FALSE(uses("s0"));
    }

    TEST_F(AFleetState, ListsADataCentreAsEvacuatedUntilItsItemIsRemoved)
    {
        publish("e", "evacuate hall");
        EXPECT_TRUE(fleetState.evacuated("hall"));
        EXPECT_FALSE(fleetState.evacuated("annex"));
        remove("e");
        EXPECT_FALSE(fleetState.evacuated("hall"));
    }

    TEST_F(AFleetState, AppliesTheCompleteSnapshotOfAPeer)
    {
        publish("config", "config 5");
        publishServers(3);
        const std::vector<ItemChange> snapshot {
            { "config", "config 8", 40 },
            { "s0", "server draft 10.0.0.1:80 hall ready 1 0 4", 2 },
            { "s1", "server draft 10.0.0.1:80 hall draining 1 0 4", 41 },
        };
        fleetState.replaceAll(snapshot, 50);
        EXPECT_EQ(fleetState.configVersion(), 8);
        EXPECT_TRUE(fleetState.servers().at("s1").draining);
        EXPECT_FALSE(fleetState.servers().contains("s2"));
    }

} // namespace
} // namespace yuccashift
