#include "platform/store_client.hpp"
#include "tests/support/scripted_server.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <thread>

namespace yuccashift::platform {
namespace {

    using fakes::ScriptedConnection;
    using fakes::ScriptedServer;

    std::string answer(int status, const std::string& body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /** Counts what a reader tells of the store and ends the event loop after a number of current positions. */
    struct Listener final : StoreListener {
        Listener(boost::asio::io_context& context, int limit)
            : io(context)
            , positions(limit)
        {
        }
        void onChanges(const std::vector<ItemChange>& it, const StorePosition&) override { changes += static_cast<int>(it.size()); }
        void onListing(const std::vector<ItemChange>& it, const StorePosition&) override
        {
            ++listings;
            items = static_cast<int>(it.size());
        }
        void onCurrent(const StorePosition&) override
        {
            if (--positions == 0)
                io.stop();
        }
        void onUnreachable(Instant, std::string_view reason) override
        {
            ++unreachable;
            lastReason = reason;
            if (stopsWhenUnreachable)
                io.stop();
        }
        void onReachable() override { ++reachable; }

        boost::asio::io_context& io;
        int positions;
        int changes = 0;
        int listings = 0;
        /** In the last listing. */
        int items = 0;
        int unreachable = 0;
        int reachable = 0;
        bool stopsWhenUnreachable = false;
        std::string lastReason;
    };

    struct AStoreReader : testing::Test {
        /** Answers all calls that do not wait for changes; those that wait are left to the test. */
        static bool answerAtOnce(ScriptedConnection& it)
        {
            if (it.head().starts_with("GET /yuccashift/kv-range"))
                it.write(answer(200, R"({"items":[],"hasMore":false,"at":5})"));
            else if (it.head().find("waitMs=0") != std::string::npos)
                it.write(answer(200, R"({"events":[{"key":"servers/a","revision":6,"deleted":true}],"at":6})"));
            else
                return false;
            return true;
        }

        static long peakKilobytes()
        {
            rusage used {};
            ::getrusage(RUSAGE_SELF, &used);
            return used.ru_maxrss;
        }

        void read(const ScriptedServer& server, Listener& listener)
        {
            const auto reader = makeStoreClient(io, clock, server.endpoint());
            reader->start(listener);
            io.restart();
            io.run();
        }

        SystemClock clock;
        boost::asio::io_context io;
    };

    // Each watch that was cut counted as an outage, after which removals were deferred.
    TEST_F(AStoreReader, TakesNoStoreForUnreachableThatEndsOrRefusesTheCallsThatWait)
    {
        constexpr int positions = 6;
        for (const bool refuses : { false, true }) {
            const ScriptedServer server([&](ScriptedConnection& it) {
                while (it.readRequest()) {
                    if (answerAtOnce(it))
                        continue;
                    if (!refuses)
                        return;
                    it.write(answer(503, "{}"));
                }
            });
            Listener listener(io, positions);
            read(server, listener);
            EXPECT_EQ(listener.listings, 1);
            EXPECT_EQ(listener.unreachable, 0) << listener.lastReason;
            // What happened meanwhile is read at once.
            EXPECT_EQ(listener.changes, positions - 1);
        }
    }

    TEST_F(AStoreReader, TellsThatAStoreIsUnreachableWhoseAnswersToOtherCallsFailToo)
    {
        const ScriptedServer server([](ScriptedConnection& it) {
            if (it.number() == 1 && it.readRequest())
                answerAtOnce(it);
        });
        Listener listener(io, -1);
        listener.stopsWhenUnreachable = true;
        read(server, listener);
        EXPECT_EQ(listener.listings, 1);
        EXPECT_EQ(listener.unreachable, 1);
    }

    // An answer of 16 MiB took over 400 MB when it was parsed, which ended the process.
    TEST_F(AStoreReader, KeepsWithinItsMemoryWhenAnAnswerHasMillionsOfSmallValues)
    {
        constexpr std::size_t values = 7'000'000;
        constexpr long maxKilobytes = 96 * 1024;
        std::string body = R"({"items":[)";
        for (std::size_t n = 0; n < values; ++n)
            body += "0,";
        body += "0],\"hasMore\":false,\"at\":5}";
        const ScriptedServer server([&](ScriptedConnection& it) {
            if (!it.readRequest())
                return;
            if (it.number() == 1)
                it.write(answer(200, body));
            else
                answerAtOnce(it);
        });
        const auto before = peakKilobytes();
        Listener listener(io, 1);
        read(server, listener);
        EXPECT_EQ(listener.listings, 1);
        EXPECT_LT(peakKilobytes() - before, maxKilobytes);
    }

    TEST_F(AStoreReader, ReadsTheItemsBesideThoseThatItCannotRead)
    {
        const ScriptedServer server([](ScriptedConnection& it) {
            if (it.readRequest())
                it.write(answer(200, R"({"items":[7,{"key":"servers/a","value":"eA==","revision":3},{"key":1}],"hasMore":false,"at":5})"));
        });
        Listener listener(io, 1);
        read(server, listener);
        EXPECT_EQ(listener.listings, 1);
        EXPECT_EQ(listener.items, 1);
    }

    // The reader reserved the announced length, which ended the process.
    TEST_F(AStoreReader, SurvivesAnAnswerThatAnnouncesALengthThatNoMemoryHolds)
    {
        const ScriptedServer server([](ScriptedConnection& it) {
            if (!it.readRequest())
                return;
            if (it.number() == 1)
                it.write("HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n{");
            else
                answerAtOnce(it);
        });
        Listener listener(io, 1);
        read(server, listener);
        EXPECT_EQ(listener.listings, 1);
    }

} // namespace
} // namespace yuccashift::platform
