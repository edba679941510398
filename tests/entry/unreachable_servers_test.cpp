#include "tests/support/fakes/fleet_items.hpp"
#include "tests/support/fakes/word_protocol.hpp"
#include "tests/support/scripted_server.hpp"
#include "yuccashift/entry/request_job.hpp"
#include "yuccashift/http/inbound.hpp"

#include <atomic>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    using fakes::ScriptedConnection;
    using fakes::ScriptedServer;
    using tcp = asio::ip::tcp;
    using test::WordItems;
    using test::WordProtocol;

    /** A port at which nothing listens: no test uses this address. */
    Endpoint closedPort()
    {
        return { "127.0.0.9", 9 };
    }

    /** One instance with its listeners for callers and for other instances. */
    class Instance {
    public:
        /** @param servers addresses under which the instance finds the servers of the service `ledger` */
        Instance(asio::io_context& io, const Clock& clock, const WordProtocol& protocol, const WordItems& items, const std::string& name, const std::string& ip, const std::vector<Endpoint>& servers)
            : core(io, clock, settings(name, ip), protocol, items, std::make_unique<SeededRandom>(7))
            , m_callers(io, clock, m_callerHandler, core.memory)
            , m_peers(io, clock, m_peerHandler, core.memory)
        {
            std::vector<ItemChange> listing { { "config", "config 1", 2 } };
            for (const auto& it : servers)
                listing.push_back({ "s" + std::to_string(listing.size()), "server ledger " + toString(it) + " hall ready 1 0 6", 3 });
            core.fleetState.replaceAll(listing, 3);
            core.requestProbe = [](std::uint64_t) {};
            core.retryBudget.setInstanceCount(1);
            for (int n = 0; n < 50; ++n)
                core.retryBudget.onRequest("ledger");
            callers = m_callers.listen({ "127.0.0.1", 0 }).value();
            peers = m_peers.listen({ ip, 0 }).value();
        }

        /** Takes a heartbeat of the other instance that reports this many free slots of the region; no capacity at all if none. */
        void hear(const Instance& other, std::int32_t freeSlots) { hear(other, freeSlots, freeSlots > 0); }
        /** Takes one that reports a region whose slots are all taken. */
        void hearTaken(const Instance& other) { hear(other, 0, true); }

    private:
        void hear(const Instance& other, std::int32_t freeSlots, bool reports)
        {
            fleetwire::Heartbeat beat;
            fleetwire::Profile profile;
            profile.instance = other.core.settings.instance;
            profile.region = other.core.settings.region;
            profile.ip = other.core.settings.ip;
            beat.__set_profile(profile);
            beat.sender = hashOfInstance(profile.instance);
            beat.incarnation = 1;
            beat.sequence = ++m_heartbeats;
            beat.reportsCapacity = true;
            if (reports) {
                fleetwire::ServiceRoom room;
                room.serviceName = "ledger";
                room.freeSlots = freeSlots;
                room.waitMs = { 60 };
                beat.rooms.push_back(room);
            }
            core.peerTable.setHeartbeatTimeout(seconds(60));
            core.peerTable.onHeartbeat(beat);
            core.settings.peerPort = other.peers.port;
        }

    public:
        EntryCore core;
        Endpoint callers;
        Endpoint peers;
        /** Requests that other instances forwarded to this one. */
        int forwarded = 0;

    private:
        struct CallerHandler : InboundHandler {
            explicit CallerHandler(Instance& it)
                : owner(it)
            {
            }
            void onRequest(std::shared_ptr<InboundExchange> exchange) override { RequestJob::start(owner.core, std::move(exchange), std::nullopt); }
            InboundLimits limits() const override { return {}; }
            bool shouldCloseConnections() const override { return false; }
            Instance& owner;
        };
        struct PeerHandler final : CallerHandler {
            using CallerHandler::CallerHandler;
            void onRequest(std::shared_ptr<InboundExchange> exchange) override
            {
                ++owner.forwarded;
                auto metadata = extractHopMetadata(exchange->request().headers);
                RequestJob::start(owner.core, std::move(exchange), std::move(metadata));
            }
        };

        static EntrySettings settings(const std::string& name, const std::string& ip)
        {
            EntrySettings it;
            it.instance = name;
            it.region = "here";
            it.regions = { { "hall", "here" } };
            it.ip = ip;
            return it;
        }

        CallerHandler m_callerHandler { *this };
        PeerHandler m_peerHandler { *this };
        InboundServer m_callers;
        InboundServer m_peers;
        std::int64_t m_heartbeats = 0;
    };

    /** Two instances of one region. The first one reaches none of the region's servers, the second one all of them. */
    class AnInstanceThatReachesNoServer : public testing::Test {
    protected:
        AnInstanceThatReachesNoServer()
        {
            for (const auto& [prefix, kind] : { std::pair { "/read/", RouteKind::Idempotent }, std::pair { "/write/", RouteKind::NonIdempotent }, std::pair { "/stream/", RouteKind::Streaming } }) {
                Route route;
                route.name = prefix;
                route.host = "a";
                route.pathPrefix = prefix;
                route.kind = kind;
                route.maxAttempts = 1;
                route.timeLimit = milliseconds(2000);
                route.latencyObjective = milliseconds(1000);
                route.services = { { "ledger", 1 } };
                m_items.config.routes.push_back(route);
            }
            m_items.config.services["ledger"] = {};
            m_stranded.emplace(m_io, m_clock, m_protocol, m_items, "i1", "127.0.0.1", std::vector { closedPort(), closedPort() });
            m_connected.emplace(m_io, m_clock, m_protocol, m_items, "i2", "127.0.0.2", std::vector { m_server.endpoint(), m_server.endpoint() });
        }

        int call(const std::string& path)
        {
            tcp::socket socket(m_io);
            socket.connect({ asio::ip::make_address(m_stranded->callers.host), m_stranded->callers.port });
            asio::write(socket, asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a\r\nAttempt: x\r\n\r\n"));
            boost::beast::flat_buffer buf;
            http::response<http::string_body> answer;
            http::async_read(socket, buf, answer, [&](const boost::system::error_code&, std::size_t) { m_io.stop(); });
            m_io.restart();
            m_io.run();
            return static_cast<int>(answer.result_int());
        }

        SystemClock m_clock;
        asio::io_context m_io { 1 };
        WordProtocol m_protocol;
        WordItems m_items;
        std::atomic<int> m_runs = 0;
        ScriptedServer m_server { [this](ScriptedConnection& connection) {
            while (connection.readRequest()) {
                ++m_runs;
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            }
        } };
        std::optional<Instance> m_stranded;
        std::optional<Instance> m_connected;
    };

    const std::vector<std::string> paths { "/read/x", "/write/x", "/stream/x" };

    // Callers of such an instance were refused while the servers of its region were idle.
    TEST_F(AnInstanceThatReachesNoServer, HasItsRequestsServedThroughAnotherInstanceOfItsRegion)
    {
        m_stranded->hear(*m_connected, 6);
        for (int n = 0; n < 4; ++n) {
            for (const auto& path : paths)
                EXPECT_EQ(call(path), 200) << path;
        }
        EXPECT_EQ(m_runs, 12);
        EXPECT_EQ(m_connected->forwarded, 12);
    }

    TEST_F(AnInstanceThatReachesNoServer, RefusesAtOnceWhatNoOtherInstanceCanTake)
    {
        m_stranded->hear(*m_connected, 6);
        m_stranded->hear(*m_connected, 0);
        for (const auto& path : paths)
            EXPECT_EQ(call(path), 503) << path;
        EXPECT_EQ(m_connected->forwarded, 0);
    }

    // All instances of a region were cut off from its servers, and one other region could still be reached, whose servers were
    // full: it took its own callers in turn and refused nearly all of the others.
    TEST_F(AnInstanceThatReachesNoServer, QueuesItsRequestsAtServersThatAreAllTaken)
    {
        m_stranded->hear(*m_connected, 6);
        EXPECT_EQ(call("/write/x"), 200);
        m_stranded->hearTaken(*m_connected);
        for (const auto& path : paths)
            EXPECT_EQ(call(path), 200) << path;
        EXPECT_EQ(m_connected->forwarded, 4);
    }

    TEST_F(AnInstanceThatReachesNoServer, ReportsToOthersHowLongItsServersKeepRequestsWaiting)
    {
        const auto idleWait = m_connected->core.planner.freeCapacity().at("ledger").wait[0];
        const WorkSize work;
        for (const auto& [key, server] : m_connected->core.fleetState.servers()) {
            for (std::uint32_t n = 0; n < 2 * server.slots; ++n)
                m_connected->core.serverTracker.onSend(server.identityHash, { work });
        }
        const auto capacity = m_connected->core.planner.freeCapacity();
        ASSERT_TRUE(capacity.contains("ledger"));
        EXPECT_EQ(capacity.at("ledger").freeSlots, 0);
        EXPECT_GT(capacity.at("ledger").wait[0], idleWait);
    }

    // An entry of a service that no configuration names gets no requests, so that its server never seems to fail; it kept
    // the instance from noticing that it reaches none of the others.
    TEST_F(AnInstanceThatReachesNoServer, KnowsSoWhateverOtherWritersPublish)
    {
        auto& core = m_stranded->core;
        core.fleetState.apply(std::vector<ItemChange> { { "foreign", "server unnamed 127.0.0.9:9 hall ready 1 0 6", 4 } }, 4);
        m_stranded->hear(*m_connected, 6);
        EXPECT_EQ(call("/write/x"), 200);
        // The planner looks at its servers again after a moment.
        const auto giveUpAt = m_clock.now() + seconds(5);
        while (!core.planner.reachesNoServer() && m_clock.now() < giveUpAt) { }
        EXPECT_TRUE(core.planner.reachesNoServer());
    }

    // Requests went on being forwarded to an instance that had said that it reaches no server either.
    TEST_F(AnInstanceThatReachesNoServer, ForwardsNoMoreToOneThatRefusedUntilItReportsCapacityAgain)
    {
        m_stranded->hear(*m_connected, 6);
        EXPECT_EQ(call("/write/x"), 200);
        m_connected->core.fleetState.replaceAll(std::vector<ItemChange> { { "config", "config 1", 2 } }, 4);
        EXPECT_EQ(call("/write/x"), 503);
        EXPECT_EQ(m_connected->forwarded, 2);
        EXPECT_EQ(call("/write/x"), 503);
        EXPECT_EQ(m_connected->forwarded, 2);
        m_stranded->hear(*m_connected, 6);
        EXPECT_EQ(call("/write/x"), 503);
        EXPECT_EQ(m_connected->forwarded, 3);
    }

} // namespace
} // namespace yuccashift
