#include "tests/support/fakes/fleet_items.hpp"
#include "yuccashift/entry/dispatch_planner.hpp"
#include "yuccashift/fleet/datagram.hpp"
#include "yuccashift/kernel/log.hpp"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <set>

namespace yuccashift {
namespace {

    constexpr Duration heartbeatInterval = seconds(1);

    /** A plain backend server that rejects requests beyond its slots and its queue. */
    class PlainServer {
    public:
        static constexpr std::size_t slots = 6;
        static constexpr std::size_t queueLimit = 24;
        static constexpr Duration meanWork = milliseconds(60);

        explicit PlainServer(RandomSource& random)
            : m_random(random)
            , m_slotFreeAt(slots)
        {
        }

        /** When the answer to a request that arrives now is complete; std::nullopt if the server rejects it. */
        std::optional<Instant> accept(Instant now)
        {
            std::erase_if(m_ends, [&](Instant end) { return end <= now; });
            if (m_ends.size() >= slots + queueLimit)
                return {};
            auto& slot = *std::ranges::min_element(m_slotFreeAt);
            slot = std::max(now, slot) + std::chrono::duration_cast<Duration>(meanWork * (0.5 + m_random.uniformReal()));
            m_ends.push_back(slot);
            return slot;
        }

    private:
        RandomSource& m_random;
        std::vector<Instant> m_slotFreeAt;
        std::vector<Instant> m_ends;
    };

    /** The state on which one instance bases its decisions. */
    struct Instance {
        Instance(const Clock& clock, const ItemDecoder& items, const std::string& name, std::uint64_t seed)
            : fleet(clock, items)
            , peers(clock, name)
            , tracker(clock)
            , random(seed)
            , planner(clock, settings, fleet, tracker, peers, random)
        {
            settings.instance = name;
            settings.region = "lagos";
            settings.regions = { { "hall", "lagos" } };
        }

        EntrySettings settings;
        FleetState fleet;
        PeerTable peers;
        ServerTracker tracker;
        SeededRandom random;
        DispatchPlanner planner;
    };

    /** The instances of one region before its servers of one plain service, on a virtual clock. */
    class ManyInstancesBeforeFewSlots : public testing::Test {
    protected:
        static constexpr int instanceCount = 98;
        static constexpr int serverCount = 3;
        static constexpr Duration objective = milliseconds(500);

        ManyInstancesBeforeFewSlots()
        {
            initialiseLog("error", "server_owners_test");
            m_items.config.services["ledger"] = { "/health", 1800, {}, 0, false, 0 };
            std::vector<ItemChange> listing { { "config", "config 1", 2 } };
            for (int n = 0; n < serverCount; ++n) {
                listing.push_back({ "s" + std::to_string(n), "server ledger 10.0.0.1:80 hall ready 1 0 6", 3 });
                m_servers.emplace_back(m_random);
            }
            for (int n = 0; n < instanceCount; ++n) {
                m_instances.push_back(std::make_unique<Instance>(m_clock, m_items, "i" + std::to_string(n), 100 + static_cast<std::uint64_t>(n)));
                m_instances.back()->fleet.replaceAll(listing, 3);
            }
            exchangeHeartbeats();
        }

        /** Sends requests at random instances, at this rate. */
        void run(Duration time, double requestsPerSecond)
        {
            const auto end = m_clock.now() + time;
            while (m_clock.now() < end) {
                m_clock.advance(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(2 * m_random.uniformReal() / requestsPerSecond)));
                if (m_clock.now() - m_lastHeartbeat >= heartbeatInterval)
                    exchangeHeartbeats();
                completeRequests();
                request(*m_instances[m_random.uniformBelow(m_instances.size())]);
            }
        }

        void stopHeartbeatsOf(const InstanceId& instance) { m_silent.insert(instance); }
        Instance& instance(std::size_t n) { return *m_instances[n]; }

        /** The instance through which instance `n` sends requests to the first server. */
        InstanceId ownerOf(std::size_t n)
        {
            const auto plan = instance(n).planner.planLocal("ledger", {}, objective, {}, {}, std::nullopt);
            const auto* peer = instance(n).planner.remoteOwner(*plan.servers.front(), {});
            return peer ? peer->instance : instance(n).settings.instance;
        }
        std::set<InstanceId> ownersForAllBut(const InstanceId& excluded)
        {
            std::set<InstanceId> owners;
            for (std::size_t n = 0; n < instanceCount; ++n) {
                if (instance(n).settings.instance != excluded)
                    owners.insert(ownerOf(n));
            }
            return owners;
        }

        std::size_t m_requests = 0;
        std::size_t m_onTime = 0;
        /** Arrivals that a server rejected. */
        std::size_t m_rejected = 0;
        /** Requests that no instance found a server for. */
        std::size_t m_refused = 0;

    private:
        struct InProgress {
            Instant end;
            Instance* sender;
            RequestTicket ticket;
        };

        void exchangeHeartbeats()
        {
            m_lastHeartbeat = m_clock.now();
            ++m_sequence;
            for (const auto& from : m_instances) {
                if (m_silent.contains(from->settings.instance))
                    continue;
                fleetwire::Heartbeat heartbeat;
                fleetwire::Profile profile;
                profile.instance = from->settings.instance;
                profile.region = "lagos";
                heartbeat.__set_profile(profile);
                heartbeat.sender = hashOfInstance(profile.instance);
                heartbeat.incarnation = 1;
                heartbeat.sequence = m_sequence;
                heartbeat.reachesNoServer = from->planner.reachesNoServer();
                std::map<std::uint64_t, ServerLoadSum> loads;
                for (const auto& [server, load] : from->tracker.ownLoads())
                    loads[server] = load;
                for (const auto& to : m_instances) {
                    if (to == from)
                        continue;
                    to->peers.onHeartbeat(heartbeat);
                    to->tracker.setPeerLoads(profile.instance, loads);
                }
            }
        }

        void completeRequests()
        {
            std::erase_if(m_inProgress, [&](InProgress& it) {
                if (it.end > m_clock.now())
                    return false;
                it.sender->tracker.onFirstByte(it.ticket);
                it.sender->tracker.onComplete(it.ticket, ServerOutcome::Succeeded);
                return true;
            });
        }

        /** A request's way: the origin chooses a server, and its owner sends the request or refuses it. */
        void request(Instance& origin)
        {
            ++m_requests;
            std::set<std::uint64_t> tried;
            for (std::size_t attempt = 0; attempt < serverCount; ++attempt) {
                const auto plan = origin.planner.planLocal("ledger", {}, objective, tried, {}, std::nullopt);
                if (!plan.server())
                    break;
                const auto* peer = origin.planner.remoteOwner(*plan.server(), {});
                auto& sender = peer ? *find(peer->instance) : origin;
                if (send(sender, plan.server()->identityHash))
                    return;
                tried.insert(plan.server()->identityHash);
            }
            ++m_refused;
        }

        bool send(Instance& sender, std::uint64_t server)
        {
            const auto plan = sender.planner.planAt(server, "ledger", {});
            if (!plan.server() || plan.choice.predicted > ownerQueueLimit(objective))
                return false;
            const WorkSize work;
            auto ticket = sender.tracker.onSend(server, { work, 0, plan.choice.predicted, plan.candidates.front().slowness, false, 0, PlainServer::slots });
            const auto index = static_cast<std::size_t>(plan.server()->identity.id.back() - '0');
            const auto end = m_servers[index].accept(m_clock.now());
            if (!end) {
                ++m_rejected;
                sender.tracker.onComplete(ticket, ServerOutcome::Rejected);
                return false;
            }
            m_onTime += *end - m_clock.now() <= objective ? 1 : 0;
            m_inProgress.push_back({ *end, &sender, ticket });
            return true;
        }

        Instance* find(const InstanceId& name)
        {
            return std::ranges::find_if(m_instances, [&](const auto& it) { return it->settings.instance == name; })->get();
        }

        VirtualClock m_clock;
        SeededRandom m_random { 11 };
        test::WordItems m_items;
        std::deque<PlainServer> m_servers;
        std::vector<std::unique_ptr<Instance>> m_instances;
        std::vector<InProgress> m_inProgress;
        std::set<InstanceId> m_silent;
        Instant m_lastHeartbeat {};
        std::int64_t m_sequence = 0;
    };

    // All servers together take 300 requests a second.
    TEST_F(ManyInstancesBeforeFewSlots, FillTheSlotsWithoutRejections)
    {
        run(seconds(20), 250);
        EXPECT_EQ(m_rejected, 0u);
        EXPECT_EQ(m_refused, 0u);
        EXPECT_EQ(m_onTime, m_requests);
    }

    TEST_F(ManyInstancesBeforeFewSlots, RefuseTheExcessThemselvesAndServeTheRestOnTime)
    {
        run(seconds(20), 450);
        // A server's limit is known only from its rejections, and tried out again every five seconds.
        EXPECT_LE(m_rejected, serverCount * (20 / 5 + 1) * 3);
        EXPECT_EQ(m_onTime + m_refused, m_requests);
        // The servers take two thirds of the requests; a tenth of that may be lost to the imbalance between them.
        EXPECT_GE(static_cast<double>(m_onTime), 0.6 * static_cast<double>(m_requests));
    }

    // After an outage, callers return at once to a service with one or a few servers in the region.
    TEST_F(ManyInstancesBeforeFewSlots, WaitForASlotRatherThanRefuseWhenAllServersAreFull)
    {
        auto& origin = instance(0);
        EXPECT_FALSE(origin.planner.planLocal("ledger", {}, objective, {}, {}, std::nullopt).slotWait);
        for (const auto& [key, server] : origin.fleet.servers())
            origin.tracker.markFull(server.identityHash, milliseconds(120));
        const auto plan = origin.planner.planLocal("ledger", {}, objective, {}, {}, std::nullopt);
        EXPECT_FALSE(plan.server());
        ASSERT_TRUE(plan.slotWait);
        EXPECT_EQ(*plan.slotWait, milliseconds(120));
    }

    TEST_F(ManyInstancesBeforeFewSlots, AgreeOnAnotherOwnerWhenOneFallsSilent)
    {
        const auto owner = ownerOf(0);
        stopHeartbeatsOf(owner);
        run(seconds(5), 100);
        const auto owners = ownersForAllBut(owner);
        EXPECT_EQ(owners.size(), 1u);
        EXPECT_FALSE(owners.contains(owner));
    }

    // An owner that was partitioned from its servers reported them as failing, and no instance used them any more.
    TEST_F(ManyInstancesBeforeFewSlots, AgreeOnAnotherOwnerWhenOneReachesNoServer)
    {
        const auto owner = ownerOf(0);
        for (std::size_t n = 0; n < instanceCount; ++n) {
            if (instance(n).settings.instance != owner)
                continue;
            for (const auto& [key, server] : instance(n).fleet.servers())
                instance(n).tracker.markSuspect(server.identityHash);
        }
        run(seconds(3), 100);
        const auto owners = ownersForAllBut(owner);
        EXPECT_EQ(owners.size(), 1u);
        EXPECT_FALSE(owners.contains(owner));
    }

} // namespace
} // namespace yuccashift
