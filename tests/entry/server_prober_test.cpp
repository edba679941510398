#include "tests/support/fakes/fleet_items.hpp"
#include "tests/support/fakes/word_protocol.hpp"
#include "tests/support/scripted_server.hpp"
#include "yuccashift/entry/entry_core.hpp"
#include "yuccashift/entry/request_job.hpp"
#include "yuccashift/entry/server_prober.hpp"

#include <atomic>
#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    using fakes::ScriptedConnection;
    using fakes::ScriptedServer;
    using test::WordItems;
    using test::WordProtocol;

    struct AProbe : testing::Test {
        AProbe() { items.config.services["engines"] = {}; }

        static EntrySettings settings()
        {
            EntrySettings it;
            it.instance = "i1";
            it.region = "here";
            it.regions = { { "hall", "here" } };
            return it;
        }

        /** Probes the server and runs the event loop until the condition holds, at most for some seconds. */
        void probe(const ScriptedServer& server, const std::function<bool()>& done)
        {
            core.fleetState.replaceAll(std::vector<ItemChange> { { "config", "config 1", 2 }, { "s1", "server engines " + toString(server.endpoint()) + " hall ready 1 0 6", 3 } }, 3);
            core.requestProbe(core.fleetState.servers().at("s1").identityHash);
            const auto end = clock.now() + seconds(10);
            while (!done() && clock.now() < end)
                io.run_for(milliseconds(5));
        }

        SystemClock clock;
        boost::asio::io_context io { 1 };
        WordProtocol protocol;
        WordItems items;
        EntryCore core { io, clock, settings(), protocol, items, std::make_unique<SeededRandom>(7) };
        ServerProber prober { core };
    };

    // Its connection went into the pool, where a late copy of the health answer passed for the answer to the next request.
    TEST_F(AProbe, LeavesItsConnectionToNoRequest)
    {
        std::atomic<bool> closed = false;
        const ScriptedServer server([&](ScriptedConnection& it) {
            it.readRequest();
            it.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            closed = !it.readRequest();
        });
        probe(server, [&] { return closed.load(); });
        EXPECT_TRUE(closed);
    }

    // One such answer ended each instance that probed the server.
    TEST_F(AProbe, SurvivesTheAnnouncementOfALengthThatNoMemoryHolds)
    {
        std::atomic<bool> closed = false;
        const ScriptedServer server([&](ScriptedConnection& it) {
            it.readRequest();
            it.write("HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\nsome bytes");
            it.swallow();
            closed = true;
        });
        probe(server, [&] { return closed.load(); });
        EXPECT_TRUE(closed);
        EXPECT_TRUE(core.serverTracker.statusOf(core.fleetState.servers().at("s1").identityHash).suspect);
    }

} // namespace
} // namespace yuccashift
