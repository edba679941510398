#include "tests/support/fakes/fleet_items.hpp"
#include "tests/support/fakes/word_protocol.hpp"
#include "tests/support/scripted_server.hpp"
#include "yuccashift/entry/peer_handler.hpp"
#include "yuccashift/entry/request_job.hpp"

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

    const std::vector<std::string> itemsPaths { "/yuccashift-peer/snapshot?after=0", "/yuccashift-peer/value?after=0&key=636F6E666967" };

    /** One instance of `here` with its listeners for callers and instances. */
    class Instance : InboundHandler {
    public:
        Instance(const test::WordItems& items, const std::vector<Endpoint>& servers)
            : core(io, clock, settings(), m_protocol, items, std::make_unique<SeededRandom>(7))
        {
            std::vector<ItemChange> listing { { "config", "config 1", 2 } };
            for (const auto& it : servers)
                listing.push_back({ "s" + std::to_string(listing.size()), "server ledger " + toString(it) + " hall ready 1 0 6", 3 });
            core.fleetState.replaceAll(listing, 3);
            core.requestProbe = [](std::uint64_t) {};
            core.retryBudget.setInstanceCount(1);
            callers = m_callers.listen({ "127.0.0.1", 0 }).value();
            peers = m_peers.listen({ "127.0.0.1", 0 }).value();
        }

        /** Hears of an instance of `there` at this address, whose region has room. */
        void hear(const Endpoint& peer, bool marksServerAnswers)
        {
            fleetwire::Heartbeat beat;
            fleetwire::Profile profile;
            profile.instance = "far";
            profile.region = "there";
            profile.ip = peer.host;
            beat.__set_profile(profile);
            beat.sender = hashOfInstance(profile.instance);
            beat.incarnation = 1;
            beat.sequence = 1;
            beat.reportsCapacity = true;
            beat.marksServerAnswers = marksServerAnswers;
            fleetwire::ServiceRoom room;
            room.serviceName = "ledger";
            room.freeSlots = 6;
            room.waitMs = { 5 };
            beat.rooms.push_back(room);
            core.peerTable.setHeartbeatTimeout(seconds(60));
            core.peerTable.onHeartbeat(beat);
            core.settings.peerPort = peer.port;
        }

        http::response<http::string_body> send(const Endpoint& to, const std::string& target, const std::string& headers)
        {
            tcp::socket socket(io);
            socket.connect({ asio::ip::make_address(to.host), to.port });
            asio::write(socket, asio::buffer("GET " + target + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n"));
            boost::beast::flat_buffer buf;
            http::response<http::string_body> answer;
            http::async_read(socket, buf, answer, [&](const boost::system::error_code&, std::size_t) { io.stop(); });
            io.restart();
            io.run();
            return answer;
        }

        SystemClock clock;
        asio::io_context io { 1 };

    private:
        static EntrySettings settings()
        {
            EntrySettings it;
            it.instance = "near";
            it.region = "here";
            it.regions = { { "hall", "here" }, { "far-hall", "there" } };
            return it;
        }

        void onRequest(std::shared_ptr<InboundExchange> exchange) override { RequestJob::start(core, std::move(exchange), std::nullopt); }
        InboundLimits limits() const override { return {}; }
        bool shouldCloseConnections() const override { return false; }

        test::WordProtocol m_protocol;

    public:
        EntryCore core;
        Endpoint callers;
        Endpoint peers;

    private:
        SnapshotExchange m_snapshots { core, [] {} };
        PeerHandler m_peerHandler { core, m_snapshots };
        InboundServer m_callers { io, clock, *this, core.memory };
        InboundServer m_peers { io, clock, m_peerHandler, core.memory };
    };

    class ACallerRequestForAPathOfInstances : public testing::Test {
    protected:
        ACallerRequestForAPathOfInstances()
        {
            Route route;
            route.name = "all";
            route.host = "a";
            route.pathPrefix = "/";
            route.kind = RouteKind::NonIdempotent;
            route.maxAttempts = 1;
            route.timeLimit = milliseconds(2000);
            route.latencyObjective = milliseconds(1000);
            route.services = { { "ledger", 1 } };
            m_items.config.routes.push_back(route);
            m_items.config.services["ledger"] = {};
        }

        static std::string hopHeaders()
        {
            HopMetadata metadata;
            metadata.origin = "far";
            metadata.configVersion = 1;
            metadata.service = "ledger";
            metadata.deadline = milliseconds(2000);
            metadata.objective = milliseconds(1000);
            std::string headers = "Attempt: x\r\n";
            appendHopMetadata(headers, metadata);
            return headers;
        }

        test::WordItems m_items;
    };

    // A forwarded request was answered with the published items because of its path; no server saw it.
    TEST_F(ACallerRequestForAPathOfInstances, IsSentToAServerByTheInstanceItIsForwardedTo)
    {
        std::atomic<int> runs = 0;
        const ScriptedServer server([&](ScriptedConnection& connection) {
            while (connection.readRequest()) {
                ++runs;
                connection.write("HTTP/1.1 200 OK\r\nYuccashift-Failure: overloaded; not run\r\nContent-Length: 2\r\n\r\nok");
            }
        });
        Instance instance(m_items, { server.endpoint() });
        for (const auto& path : itemsPaths) {
            const auto answer = instance.send(instance.peers, path, hopHeaders());
            EXPECT_EQ(answer.body(), "ok") << path;
            EXPECT_EQ(answer["Yuccashift-Answer"], "server") << path;
            EXPECT_EQ(answer.count("Yuccashift-Failure"), 0u) << "a server does not speak for an instance";
        }
        EXPECT_EQ(runs, 2);

        // Instances of this version and of earlier ones ask for the items without metadata of a hop.
        for (const auto& path : itemsPaths)
            EXPECT_EQ(instance.send(instance.peers, path, {})["Content-Type"], "application/octet-stream") << path;
        EXPECT_EQ(runs, 2);
    }

    TEST_F(ACallerRequestForAPathOfInstances, IsRefusedAsNotRunIfItsMetadataIsIncomplete)
    {
        Instance instance(m_items, {});
        for (const auto& path : itemsPaths) {
            const auto answer = instance.send(instance.peers, path, "Yuccashift-Origin: far\r\n");
            EXPECT_EQ(answer.result_int(), 400u) << path;
            EXPECT_EQ(answer["Yuccashift-Failure"], "malformed_request; not run") << path;
        }
    }

    // What an instance answered for itself passed for the answer of a server.
    TEST_F(ACallerRequestForAPathOfInstances, IsAnsweredOnlyByWhatIsMarkedAsAServersAnswer)
    {
        for (const bool marked : { false, true }) {
            const ScriptedServer peer([&](ScriptedConnection& connection) {
                if (connection.readRequest())
                    connection.write(std::string("HTTP/1.1 413 Payload Too Large\r\n") + (marked ? "Yuccashift-Answer: server\r\n" : "") + "Content-Length: 5\r\n\r\nlarge");
            });
            Instance instance(m_items, {});
            instance.hear(peer.endpoint(), true);
            const auto answer = instance.send(instance.callers, "/x", "Attempt: x\r\nYuccashift-Answer: server\r\n");
            EXPECT_EQ(answer.result_int(), marked ? 413u : 502u);
            EXPECT_EQ(answer.count("Yuccashift-Answer"), 0u);
        }
    }

    // Instances of earlier versions mark no answers, and answer forwarded requests for these paths themselves.
    TEST_F(ACallerRequestForAPathOfInstances, IsNotForwardedToAnInstanceOfAnEarlierVersion)
    {
        std::atomic<int> forwarded = 0;
        const ScriptedServer peer([&](ScriptedConnection& connection) {
            while (connection.readRequest()) {
                ++forwarded;
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            }
        });
        Instance instance(m_items, {});
        instance.hear(peer.endpoint(), false);
        for (const auto& path : itemsPaths)
            EXPECT_EQ(instance.send(instance.callers, path, "Attempt: x\r\n").result_int(), 503u) << path;
        EXPECT_EQ(forwarded, 0);
        EXPECT_EQ(instance.send(instance.callers, "/records/1", "Attempt: x\r\n").body(), "ok");
        EXPECT_EQ(forwarded, 1);
    }

} // namespace
} // namespace yuccashift
