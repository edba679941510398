#include "yuccashift/gateway/answer_relay.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <vector>

namespace yuccashift {
namespace {

    namespace asio = boost::asio;

    const std::string token = "data: {\"token_index\":0}\n\n";
    const std::string endMark = "data: [DONE]\n\n";

    /** A stream of events that arrives in these parts and is then cut off. */
    class CutOffStream final : public IncomingAnswer {
    public:
        explicit CutOffStream(std::vector<std::string> parts, int status = 200)
            : m_parts(std::move(parts))
        {
            m_head.status = status;
            m_head.headers.push_back({ "Content-Type", "text/event-stream" });
        }

        const AnswerHead& head() const override { return m_head; }
        std::size_t partsRead() const { return m_next; }
        asio::awaitable<Result<std::string_view>> next() override
        {
            if (m_next == m_parts.size())
                co_return fail(ErrorKind::AnswerIncomplete, "the connection was closed");
            co_return std::string_view(m_parts[m_next++]);
        }

    private:
        AnswerHead m_head;
        std::vector<std::string> m_parts;
        std::size_t m_next = 0;
    };

    struct KeptAnswer final : AnswerSink {
        asio::awaitable<bool> head(AnswerHead) override
        {
            started = true;
            co_return true;
        }
        asio::awaitable<bool> chunk(std::string_view data) override
        {
            body += data;
            co_return true;
        }
        asio::awaitable<bool> end() override
        {
            ended = true;
            co_return true;
        }
        asio::awaitable<void> fail(const Error&, const HeaderFields&) override { co_return; }
        bool headSent() const override { return started; }

        std::string body;
        bool started = false;
        bool ended = false;
    };

    Result<void> relay(IncomingAnswer& answer, AnswerSink& sink)
    {
        asio::io_context io;
        Result<void> result;
        AnswerRelay it(sink, 0);
        asio::co_spawn(io, it.run(answer, 1), [&](const std::exception_ptr&, const Result<void>& relayed) { result = relayed; });
        io.run();
        return result;
    }

    // Answers without length or chunks end with their connection.
    TEST(ARelayedStream, IsWholeOnceItsEndMarkHasArrivedHoweverItsConnectionEnds)
    {
        CutOffStream answer({ token, endMark });
        KeptAnswer kept;
        EXPECT_TRUE(relay(answer, kept));
        EXPECT_TRUE(kept.ended);
        EXPECT_EQ(kept.body, token + endMark);
    }

    // Bytes without end after the end mark kept the caller waiting for the end of its answer.
    TEST(ARelayedStream, EndsAfterItsEndMarkThoughItsServerSendsBytesWithoutEnd)
    {
        std::vector<std::string> parts(1000, std::string(1024, 'x'));
        parts.insert(parts.begin(), token + endMark);
        CutOffStream answer(std::move(parts));
        KeptAnswer kept;
        EXPECT_TRUE(relay(answer, kept));
        EXPECT_EQ(kept.body, token + endMark);
        EXPECT_LT(answer.partsRead(), 100u);
    }

    // A stream that broke off went on at a server of another software version.
    TEST(ARelayedStream, IsContinuedOnlyByTheSoftwareThatBeganIt)
    {
        const std::string second = "data: {\"token_index\":1}\n\n";
        for (const SoftwareId next : { 1, 2, 0 }) {
            CutOffStream begin({ token });
            CutOffStream rest({ second, endMark });
            KeptAnswer kept;
            asio::io_context io;
            AnswerRelay relay(kept, 0);
            std::vector<bool> results;
            const auto run = [&](IncomingAnswer& answer, SoftwareId software) {
                asio::co_spawn(io, relay.run(answer, software), [&](const std::exception_ptr&, const Result<void>& relayed) { results.push_back(relayed.has_value()); });
                io.restart();
                io.run();
            };
            run(begin, 1);
            run(rest, next);
            EXPECT_EQ(results, (std::vector { false, next == 1 })) << next;
            auto expected = token;
            if (next == 1)
                expected.append(second).append(endMark);
            EXPECT_EQ(kept.body, expected) << next;
            EXPECT_EQ(relay.streamSoftware().software(), 1u);
        }
    }

    // The next server answered with an error whose body was a stream of events, and the caller got it as the rest of its own.
    TEST(ARelayedStream, IsNotContinuedByAnErrorInTheFormOfAStream)
    {
        for (const int status : { 404, 500, 503, 302 }) {
            CutOffStream begin({ token });
            CutOffStream error({ "data: {\"token_index\":1}\n\n", endMark }, status);
            KeptAnswer kept;
            asio::io_context io;
            AnswerRelay relay(kept, 0);
            std::vector<bool> results;
            const auto run = [&](IncomingAnswer& answer) {
                asio::co_spawn(io, relay.run(answer, 1), [&](const std::exception_ptr&, const Result<void>& relayed) { results.push_back(relayed.has_value()); });
                io.restart();
                io.run();
            };
            run(begin);
            run(error);
            EXPECT_EQ(results, (std::vector { false, false })) << status;
            EXPECT_EQ(kept.body, token) << status;
            EXPECT_FALSE(kept.ended) << status;
        }
    }

    TEST(ARelayedStream, IsIncompleteWithoutItsEndMark)
    {
        for (const auto& last : { std::string(), endMark.substr(0, endMark.size() - 1) }) {
            CutOffStream answer({ token, last.empty() ? token : last });
            KeptAnswer kept;
            EXPECT_FALSE(relay(answer, kept));
            EXPECT_FALSE(kept.ended);
        }
    }

} // namespace
} // namespace yuccashift
