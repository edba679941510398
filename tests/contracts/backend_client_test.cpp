#include "tests/support/scripted_server.hpp"
#include "tests/support/socket_option.hpp"
#include "yuccashift/http/backend_client.hpp"
#include "yuccashift/ports/http_platform.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <gtest/gtest.h>
#include <netinet/tcp.h>

// Ways in which a backend server can break a connection, and the outcome that the client must report.

namespace yuccashift {
namespace {

    namespace asio = boost::asio;
    using fakes::ScriptedConnection;
    using fakes::ScriptedServer;

    constexpr std::size_t maxAnswerBytes = 1 << 16;

    std::string okAnswer(const std::string& body)
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    struct ABackendConnection : testing::Test {
        SystemClock clock;
        asio::io_context io;
        std::unique_ptr<BackendClient> client = makeHttpBackendClient(clock);

        template <typename Value>
        Value await(asio::awaitable<Value> call)
        {
            std::optional<Value> result;
            asio::co_spawn(io, std::move(call), [&result](const std::exception_ptr& e, Value value) {
                EXPECT_FALSE(e);
                result = std::move(value);
            });
            io.restart();
            while (!result && io.run_one() > 0) { }
            return std::move(*result);
        }

        BackendCall callTo(const ScriptedServer& server, Duration progressTimeout = seconds(20)) const
        {
            BackendCall call;
            call.endpoint = server.endpoint();
            call.request = { "GET", "/", {}, {} };
            call.deadline = clock.now() + seconds(20);
            call.progressTimeout = progressTimeout;
            call.headTimeout = progressTimeout;
            return call;
        }

        Result<CompleteAnswer> get(const ScriptedServer& server, Duration progressTimeout = seconds(20))
        {
            return await(sendAndCollect(*client, callTo(server, progressTimeout), maxAnswerBytes));
        }
    };

    TEST_F(ABackendConnection, IsReusedAfterACompleteAnswer)
    {
        const ScriptedServer server([](ScriptedConnection& connection) {
            for (int n = 1; connection.readRequest(); ++n)
                connection.write(okAnswer("answer " + std::to_string(n)));
        });
        EXPECT_EQ(get(server)->body, "answer 1");
        EXPECT_EQ(get(server)->body, "answer 2");
        EXPECT_EQ(server.connections(), 1);
    }

    // A server stopped in the middle of the head of its answer.
    TEST_F(ABackendConnection, GivesNoAnswerThatEndsInsideItsHead)
    {
        const std::vector<std::string> heads { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "HTTP/1.0 200 OK\r\nServer: s\r\n\r\n" };
        std::string sent;
        const ScriptedServer server([&](ScriptedConnection& connection) {
            if (connection.readRequest() && connection.number() % 2 == 1)
                connection.write(okAnswer("whole"));
            if (connection.number() % 2 == 0 || connection.readRequest())
                connection.write(sent);
        });
        for (const auto& head : heads) {
            for (std::size_t n = 0; n < head.size(); ++n) {
                sent = head.substr(0, n);
                const bool keptConnection = server.connections() % 2 == 0;
                EXPECT_TRUE(!keptConnection || get(server)->body == "whole");
                const auto answer = get(server);
                ASSERT_FALSE(answer) << "after " << n << " bytes of " << head;
                EXPECT_EQ(answer.error().kind, ErrorKind::BackendLost);
            }
        }
    }

    struct BrokenCase {
        const char* name;
        std::string sent;
        ErrorKind kind;
    };

    TEST_F(ABackendConnection, ThatBreaksNeverYieldsACompleteAnswer)
    {
        const BrokenCase cases[] = {
            { "before any byte", "", ErrorKind::BackendLost },
            { "inside the head", "HTTP/1.1 200 OK\r\nContent-Le", ErrorKind::BackendLost },
            { "inside the body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345", ErrorKind::AnswerIncomplete },
            { "inside a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123", ErrorKind::AnswerIncomplete },
            { "before the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", ErrorKind::AnswerIncomplete },
            { "without any end mark", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n12345", ErrorKind::AnswerIncomplete },
            { "with damage in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n12345\r\n0\r\n\r\n", ErrorKind::AnswerIncomplete },
            { "with what is not HTTP", "garbage\r\n\r\n", ErrorKind::BackendLost },
        };
        for (const auto& it : cases) {
            const ScriptedServer server([&it](ScriptedConnection& connection) {
                if (connection.readRequest())
                    connection.write(it.sent);
            });
            const auto answer = get(server);
            ASSERT_FALSE(answer) << it.name;
            EXPECT_EQ(answer.error().kind, it.kind) << it.name;
            EXPECT_NE(answer.error().effectiveRunState(), RunState::NotRun) << it.name;
        }
    }

    // An interim answer passed for the answer, and so did a message whose status has no class.
    TEST_F(ABackendConnection, YieldsTheFinalAnswerAndNoMessageOfAnotherStatus)
    {
        std::string sent;
        const ScriptedServer server([&](ScriptedConnection& connection) {
            if (connection.readRequest())
                connection.write(sent);
        });
        sent = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okAnswer("whole");
        const auto answer = get(server);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->head.status, 200);
        EXPECT_EQ(answer->body, "whole");
        EXPECT_FALSE(findHeader(answer->head.headers, "Link"));
        for (const auto* status : { "000", "099", "600", "999" }) {
            sent = std::string("HTTP/1.1 ") + status + " Odd\r\nContent-Length: 2\r\n\r\nok";
            const auto odd = get(server);
            ASSERT_FALSE(odd) << status;
            EXPECT_EQ(odd.error().kind, ErrorKind::BackendLost) << status;
        }
        sent.clear();
        for (int n = 0; n < 1000; ++n)
            sent += "HTTP/1.1 100 Continue\r\n\r\n";
        EXPECT_FALSE(get(server));
    }

    TEST_F(ABackendConnection, ThatAnnouncesALengthThatNoMemoryHoldsYieldsNoAnswer)
    {
        const ScriptedServer server([](ScriptedConnection& connection) {
            if (connection.readRequest())
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\nsome bytes");
        });
        const auto answer = get(server);
        ASSERT_FALSE(answer);
        EXPECT_EQ(answer.error().kind, ErrorKind::AnswerIncomplete);
    }

    // An engine's report was read up to 8 MiB, and its parsed form takes many times that.
    TEST_F(ABackendConnection, ToAnEngineFailsWhenItsReportIsLargerThanAnyEnginesIs)
    {
        const ScriptedServer engine([](ScriptedConnection& connection) {
            if (connection.readRequest())
                connection.write(okAnswer("{}" + std::string(std::size_t { 2 } << 20, ' ')));
        });
        const auto control = makeHttpEngineControl(*client, clock);
        const auto report = await(control->load(engine.endpoint()));
        ASSERT_FALSE(report);
        EXPECT_EQ(report.error().kind, ErrorKind::AnswerIncomplete);
    }

    TEST_F(ABackendConnection, ThatCannotBeOpenedMeansThatNothingRan)
    {
        Endpoint closedEndpoint;
        {
            const ScriptedServer server([](ScriptedConnection&) {});
            closedEndpoint = server.endpoint();
        }
        BackendCall call;
        call.endpoint = closedEndpoint;
        call.request = { "GET", "/", {}, {} };
        call.deadline = clock.now() + seconds(20);
        const auto answer = await(sendAndCollect(*client, std::move(call), maxAnswerBytes));
        ASSERT_FALSE(answer);
        EXPECT_EQ(answer.error().kind, ErrorKind::BackendRefused);
        EXPECT_EQ(answer.error().effectiveRunState(), RunState::NotRun);
    }

    TEST_F(ABackendConnection, ThatStopsAnsweringTimesOutAndIsReplaced)
    {
        const ScriptedServer server([](ScriptedConnection& connection) {
            const bool stopsAnswering = connection.number() == 1;
            for (int n = 1; connection.readRequest(); ++n) {
                if (stopsAnswering && n > 1)
                    return connection.swallow();
                connection.write(okAnswer("connection " + std::to_string(connection.number())));
            }
        });
        EXPECT_EQ(get(server)->body, "connection 1");
        const auto unanswered = get(server, milliseconds(50));
        ASSERT_FALSE(unanswered);
        EXPECT_NE(unanswered.error().effectiveRunState(), RunState::NotRun);
        EXPECT_EQ(get(server)->body, "connection 2");
    }

    // The kernel's own timeout closed a connection on a silent link without a reset, and the link delivered the request later.
    TEST_F(ABackendConnection, IsResetByTheClientAndNotEndedByTheKernelWhenItsRequestIsNotAcknowledged)
    {
        constexpr std::size_t requestBytes = 48 * 1024;
        asio::io_context serverIo;
        asio::ip::tcp::acceptor acceptor(serverIo);
        acceptor.open(asio::ip::tcp::v4());
        acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
        acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
        acceptor.listen();
        BackendCall call;
        call.endpoint = { "127.0.0.1", acceptor.local_endpoint().port() };
        call.request = { "POST", "/", {}, std::string(requestBytes, 'x') };
        call.deadline = clock.now() + seconds(20);
        call.progressTimeout = seconds(20);
        call.headTimeout = seconds(20);
        std::optional<Result<CompleteAnswer>> answer;
        const auto endpoint = call.endpoint;
        asio::co_spawn(io, sendAndCollect(*client, std::move(call), maxAnswerBytes), [&answer](const std::exception_ptr&, Result<CompleteAnswer> it) { answer = std::move(it); });
        while (test::socketOptionOfConnectionTo(endpoint, SOL_SOCKET, SO_SNDBUF) < 0)
            io.run_one();
        while (io.poll() > 0) { }
        EXPECT_EQ(test::socketOptionOfConnectionTo(endpoint, IPPROTO_TCP, TCP_USER_TIMEOUT), 0);
        while (!answer && io.run_one() > 0) { }
        ASSERT_TRUE(answer && !*answer);
        EXPECT_EQ(answer->error().kind, ErrorKind::BackendLost);
        auto socket = acceptor.accept();
        boost::system::error_code ec;
        std::vector<char> buf(2 * requestBytes);
        EXPECT_LT(asio::read(socket, asio::buffer(buf), ec), requestBytes);
    }

    TEST_F(ABackendConnection, MayStaySilentBetweenAnEarlyHeadAndTheFirstByteOfTheBody)
    {
        constexpr milliseconds queueTime { 100 };
        const ScriptedServer server([&](ScriptedConnection& connection) {
            connection.readRequest();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n");
            std::this_thread::sleep_for(queueTime);
            connection.write("queued");
        });
        auto call = callTo(server, queueTime / 10);
        call.headTimeout = seconds(20);
        const auto answer = await(sendAndCollect(*client, std::move(call), maxAnswerBytes));
        ASSERT_TRUE(answer) << answer.error().detail;
        EXPECT_EQ(answer->body, "queued");
    }

    TEST_F(ABackendConnection, ThatTheServerClosedWhileIdleIsNotReused)
    {
        std::atomic<bool> closed = false;
        const ScriptedServer server([&closed](ScriptedConnection& connection) {
            if (connection.readRequest())
                connection.write(okAnswer("connection " + std::to_string(connection.number())) + "");
            closed = true;
        });
        EXPECT_EQ(get(server)->body, "connection 1");
        while (!closed)
            std::this_thread::yield();
        // The close may not have arrived yet; in either case no request may get the first connection's answer.
        for (int tries = 0; tries < 50; ++tries) {
            const auto answer = get(server);
            if (answer) {
                EXPECT_NE(answer->body, "connection 1");
                return;
            }
            EXPECT_NE(answer.error().effectiveRunState(), RunState::NotRun);
        }
        FAIL() << "no new connection was made";
    }

    TEST_F(ABackendConnection, WithAnAbandonedExchangeIsNeverReused)
    {
        const ScriptedServer server([](ScriptedConnection& connection) {
            while (connection.readRequest())
                connection.write(okAnswer("connection " + std::to_string(connection.number())));
        });
        {
            auto abandoned = await(client->send(callTo(server)));
            ASSERT_TRUE(abandoned);
        }
        EXPECT_EQ(get(server)->body, "connection 2") << "the late body of the abandoned answer must not reach another request";
    }

    TEST_F(ABackendConnection, ThatSendsBytesAfterItsAnswerIsNeverReused)
    {
        const ScriptedServer server([](ScriptedConnection& connection) {
            const auto answer = okAnswer("connection " + std::to_string(connection.number()));
            while (connection.readRequest())
                connection.write(connection.number() == 1 ? answer + answer : answer);
        });
        EXPECT_EQ(get(server)->body, "connection 1");
        EXPECT_EQ(get(server)->body, "connection 2") << "the duplicate answer must not reach another request";
    }

    TEST_F(ABackendConnection, FailsWhenAnAnswerExceedsItsSizeLimit)
    {
        const ScriptedServer server([](ScriptedConnection& connection) {
            if (connection.readRequest())
                connection.write(okAnswer(std::string(maxAnswerBytes + 1, 'x')));
        });
        ASSERT_FALSE(get(server));
    }

    // Comments of a stream are no event, and bytes that arrive faster than they are read let no read expire.
    TEST_F(ABackendConnection, ThatSendsBytesWithoutEndIsGivenUpAtTheDeadline)
    {
        const ScriptedServer server([](ScriptedConnection& connection) {
            if (!connection.readRequest())
                return;
            connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            connection.writeWithoutEnd("400\r\n" + std::string(1023, ':') + "\n\r\n");
        });
        auto call = callTo(server);
        call.deadline = clock.now() + milliseconds(200);
        const auto answer = await(client->send(std::move(call)));
        ASSERT_TRUE(answer);
        Result<std::string_view> part = std::string_view();
        const auto giveUpAt = clock.now() + seconds(5);
        do {
            part = await((*answer)->next());
        } while (part && clock.now() < giveUpAt);
        ASSERT_FALSE(part) << "the answer went on after its deadline";
        EXPECT_EQ(part.error().kind, ErrorKind::DeadlineExceeded);
    }

    TEST_F(ABackendConnection, IsNewWhenTheCallRequiresAFreshOne)
    {
        const ScriptedServer server([](ScriptedConnection& connection) {
            while (connection.readRequest())
                connection.write(okAnswer("connection " + std::to_string(connection.number())));
        });
        EXPECT_EQ(get(server)->body, "connection 1");
        auto call = callTo(server);
        call.freshConnection = true;
        EXPECT_EQ(await(sendAndCollect(*client, std::move(call), maxAnswerBytes))->body, "connection 2");
    }

} // namespace
} // namespace yuccashift
