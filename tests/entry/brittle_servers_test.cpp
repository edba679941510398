#include "tests/support/fakes/fleet_items.hpp"
#include "yuccashift/entry/dispatch_planner.hpp"
#include "yuccashift/fleet/datagram.hpp"
#include "yuccashift/kernel/log.hpp"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <ostream>
#include <set>

namespace yuccashift {
namespace {

    constexpr Duration step = milliseconds(2);
    /** Servers let fewer requests wait from this long after they first said that they are brittle. */
    constexpr Duration stability = seconds(5);
    constexpr Duration downTime = seconds(3);
    constexpr std::size_t soundQueue = 24;
    constexpr std::size_t brittleQueue = 2;

    struct Region {
        std::size_t instances = 3;
        std::size_t servers = 3;
        std::size_t slots = 6;
        Duration work = milliseconds(60);
        bool engine = false;
        /** Requests that a brittle server may turn away in a second. */
        double rejections = 3;

        double capacity() const { return static_cast<double>(servers * slots) / std::chrono::duration<double>(work).count(); }
        friend std::ostream& operator<<(std::ostream& out, const Region& it)
        {
            return out << it.instances << " instances, " << it.servers << " servers with " << it.slots << " slots that bear " << it.rejections << " rejections a second";
        }
    };

    /** A server that falls over when it has to turn too many requests away in a second while it is brittle. */
    class Server {
    public:
        enum class Arrival {
            Accepted,
            Rejected,
            Down,
        };

        Arrival arrive(Instant now, const Region& region, std::optional<Instant> brittleSince, Duration work)
        {
            std::erase_if(m_ends, [&](Instant end) { return end <= now; });
            if (now < m_downUntil)
                return Arrival::Down;
            const bool brittle = brittleSince && now - *brittleSince >= stability;
            if (m_ends.size() < region.slots + (brittle ? brittleQueue : soundQueue)) {
                end = m_ends.size() < region.slots ? now + work : *std::ranges::min_element(m_ends) + work;
                m_ends.push_back(end);
                return Arrival::Accepted;
            }
            m_rejections.push_back(now);
            while (now - m_rejections.front() >= seconds(1))
                m_rejections.pop_front();
            if (brittle && static_cast<double>(m_rejections.size()) > region.rejections) {
                m_downUntil = now + downTime;
                m_ends.clear();
                m_rejections.clear();
                ++falls;
            }
            return Arrival::Rejected;
        }
        bool down(Instant now) const { return now < m_downUntil; }

        Instant end {};
        std::size_t falls = 0;

    private:
        std::vector<Instant> m_ends;
        std::deque<Instant> m_rejections;
        Instant m_downUntil {};
    };

    /** The instances of one region before servers that become brittle, on a virtual clock. */
    class BrittleServers : public testing::TestWithParam<Region> {
    protected:
        struct Instance {
            Instance(const Clock& clock, const ItemDecoder& items, std::size_t number)
                : fleet(clock, items)
                , peers(clock, "i" + std::to_string(number))
                , tracker(clock)
                , random(100 + number)
                , planner(clock, settings, fleet, tracker, peers, random)
            {
                settings.instance = "i" + std::to_string(number);
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

        BrittleServers()
        {
            initialiseLog("error", "brittle_servers_test");
            m_items.config.services["draft"] = { "/health", 10000, {}, 0, GetParam().engine, 500'000 };
            std::vector<ItemChange> listing { { "config", "config 1", 2 } };
            for (std::size_t n = 0; n < GetParam().servers; ++n)
                listing.push_back({ "s" + std::to_string(n), "server draft 10.0.0.1:80 hall ready 1 0 " + std::to_string(GetParam().slots), 3 });
            for (std::size_t n = 0; n < GetParam().instances; ++n) {
                m_instances.push_back(std::make_unique<Instance>(m_clock, m_items, n));
                m_instances.back()->fleet.replaceAll(listing, 3);
            }
            for (const auto& [key, server] : m_instances.front()->fleet.servers())
                m_servers[server.identityHash];
            exchangeHeartbeats();
        }

        void becomeBrittle() { m_brittleSince = m_clock.now(); }

        /** Sends requests at random instances, as a share of what all servers together can run. */
        void run(Duration time, double load)
        {
            const double perSecond = load * GetParam().capacity();
            double due = 0;
            for (const auto end = m_clock.now() + time; m_clock.now() < end; m_clock.advance(step)) {
                if (m_clock.now() - m_lastHeartbeat >= heartbeatInterval())
                    exchangeHeartbeats();
                deliverAnswers();
                probe();
                for (due += perSecond * std::chrono::duration<double>(step).count(); due >= 1; --due)
                    request(*m_instances[m_random.uniformBelow(m_instances.size())]);
            }
        }

        std::size_t falls() const
        {
            std::size_t sum = 0;
            for (const auto& [hash, server] : m_servers)
                sum += server.falls;
            return sum;
        }

        VirtualClock m_clock;
        std::size_t m_served = 0;

    private:
        struct Answer {
            Instant at;
            Instance* instance;
            RequestTicket ticket;
            ServerOutcome outcome;
        };

        /** As in Gossip: the interval grows with the region. */
        Duration heartbeatInterval() const { return std::clamp<Duration>(milliseconds(100) * m_instances.size() / 8, milliseconds(100), seconds(1)); }

        void exchangeHeartbeats()
        {
            m_lastHeartbeat = m_clock.now();
            ++m_sequence;
            for (const auto& from : m_instances) {
                fleetwire::Heartbeat heartbeat;
                fleetwire::Profile profile;
                profile.instance = from->settings.instance;
                profile.region = "lagos";
                heartbeat.__set_profile(profile);
                heartbeat.sender = hashOfInstance(profile.instance);
                heartbeat.incarnation = 1;
                heartbeat.sequence = m_sequence;
                std::map<std::uint64_t, ServerLoadSum> loads;
                for (const auto& [server, load] : from->tracker.ownLoads())
                    loads[server] = load;
                const auto reports = from->tracker.constraints().reports();
                for (const auto& to : m_instances) {
                    if (to == from)
                        continue;
                    to->peers.onHeartbeat(heartbeat);
                    to->tracker.setPeerLoads(profile.instance, loads);
                    for (const auto& report : reports)
                        to->tracker.constraints().onReport(report);
                }
            }
        }

        void deliverAnswers()
        {
            std::erase_if(m_answers, [&](Answer& it) {
                if (it.at > m_clock.now())
                    return false;
                const auto server = it.ticket.server;
                ServerStatement statement;
                if (m_brittleSince)
                    statement.bearableRejections = GetParam().rejections;
                auto& tracker = it.instance->tracker;
                if (it.outcome == ServerOutcome::Lost)
                    tracker.markSuspect(server);
                else
                    tracker.constraints().onAnswer(server, statement);
                if (it.outcome == ServerOutcome::Rejected)
                    tracker.markFull(server, it.instance->planner.backOffAfterRefusal(server));
                if (it.outcome == ServerOutcome::Succeeded)
                    tracker.onFirstByte(it.ticket);
                m_served += it.outcome == ServerOutcome::Succeeded ? 1 : 0;
                tracker.onComplete(it.ticket, it.outcome);
                return true;
            });
        }

        void probe()
        {
            for (const auto& instance : m_instances) {
                for (const auto& [hash, server] : m_servers) {
                    if (!server.down(m_clock.now()) && instance->tracker.statusOf(hash).suspect)
                        instance->tracker.clearSuspect(hash);
                }
            }
        }

        void request(Instance& origin)
        {
            std::set<std::uint64_t> tried;
            const auto plan = origin.planner.planLocal("draft", {}, seconds(1), tried, {}, std::nullopt);
            if (!plan.server())
                return;
            const auto server = plan.server()->identityHash;
            const auto* peer = origin.planner.remoteOwner(*plan.server(), {});
            if (!peer)
                return send(origin, plan);
            auto& owner = **std::ranges::find_if(m_instances, [&](const auto& it) { return it->settings.instance == peer->instance; });
            const auto atOwner = owner.planner.planAt(server, "draft", {});
            if (atOwner.server())
                send(owner, atOwner);
        }

        void send(Instance& sender, const LocalPlan& plan)
        {
            const auto hash = plan.server()->identityHash;
            const WorkSize work;
            const auto ticket = sender.tracker.onSend(hash, { work, 0, plan.choice.predicted, 1.0, GetParam().engine, 500'000, static_cast<std::uint32_t>(GetParam().slots) });
            auto& server = m_servers[hash];
            const auto duration = std::chrono::duration_cast<Duration>(GetParam().work * (0.5 + m_random.uniformReal()));
            const auto now = m_clock.now();
            switch (server.arrive(now + milliseconds(1), GetParam(), m_brittleSince, duration)) {
            case Server::Arrival::Accepted:
                return m_answers.push_back({ server.end, &sender, ticket, ServerOutcome::Succeeded });
            case Server::Arrival::Rejected:
                return m_answers.push_back({ now + milliseconds(3), &sender, ticket, ServerOutcome::Rejected });
            case Server::Arrival::Down:
                return m_answers.push_back({ now + milliseconds(3), &sender, ticket, ServerOutcome::Lost });
            }
        }

        SeededRandom m_random { 11 };
        test::WordItems m_items;
        std::map<std::uint64_t, Server> m_servers;
        std::vector<std::unique_ptr<Instance>> m_instances;
        std::vector<Answer> m_answers;
        std::optional<Instant> m_brittleSince;
        Instant m_lastHeartbeat {};
        std::int64_t m_sequence = 0;
    };

    // Servers in need fell over one after the other, since each instance tried out anew how many requests they take.
    TEST_P(BrittleServers, StayUpUnderMoreRequestsThanTheyTake)
    {
        run(seconds(5), 1.5);
        becomeBrittle();
        run(stability, 1.5);
        m_served = 0;
        constexpr auto period = seconds(20);
        run(period, 1.5);
        EXPECT_LE(falls(), 2 + GetParam().servers / 10);
        EXPECT_GE(static_cast<double>(m_served), 0.5 * GetParam().capacity() * std::chrono::duration<double>(period).count());
    }

    INSTANTIATE_TEST_SUITE_P(Regions, BrittleServers,
        testing::Values(
            Region { 1, 1, 6, milliseconds(60), false, 3 },
            Region { 3, 3, 6, milliseconds(60), false, 3 },
            Region { 7, 3, 6, milliseconds(60), false, 2 },
            Region { 3, 9, 64, milliseconds(800), true, 3 },
            Region { 7, 18, 64, milliseconds(800), true, 5 },
            Region { 30, 12, 32, milliseconds(800), true, 5 },
            Region { 98, 3, 6, milliseconds(60), false, 3 }));

} // namespace
} // namespace yuccashift
