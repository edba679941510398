#include "yuccashift/gateway/answer_recorder.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    namespace asio = boost::asio;

    /** Notes how much had been recorded when the receiver got each part. */
    struct Receiver final : AnswerSink {
        asio::awaitable<bool> head(AnswerHead) override { co_return true; }
        asio::awaitable<bool> chunk(std::string_view data) override
        {
            body += data;
            recordedAtLastPart = recorded;
            co_return true;
        }
        asio::awaitable<bool> end() override
        {
            recordedAtEnd = recorded;
            co_return true;
        }
        asio::awaitable<void> fail(const Error&, const HeaderFields&) override { co_return; }
        bool started() const override { return true; }

        std::string body;
        std::optional<std::string> recorded;
        std::optional<std::string> recordedAtLastPart;
        std::optional<std::string> recordedAtEnd;
    };

    struct AnAnswerRecorder : testing::Test {
        void pass(std::optional<std::size_t> length, const std::vector<std::string>& parts, std::size_t bound = 100)
        {
            asio::io_context io;
            AnswerRecorder recorder(receiver, bound, [this](StoredAnswer answer) { receiver.recorded = std::move(answer.body); });
            asio::co_spawn(io, run(recorder, length, parts), asio::detached);
            io.run();
        }

        static asio::awaitable<void> run(AnswerRecorder& recorder, std::optional<std::size_t> length, std::vector<std::string> parts)
        {
            AnswerHead head;
            head.length = length;
            co_await recorder.head(std::move(head));
            for (const auto& part : parts)
                co_await recorder.chunk(part);
            co_await recorder.end();
        }

        Receiver receiver;
    };

    // Seen once in CI on a busy machine: a caller with the whole answer sent its key again and was told `in_progress`.
    TEST_F(AnAnswerRecorder, HoldsTheWholeAnswerBeforeItsLastByteIsPassedOn)
    {
        pass(6, { "abc", "def" });
        EXPECT_EQ(receiver.recordedAtLastPart, "abcdef");
        EXPECT_EQ(receiver.body, "abcdef");
    }

    TEST_F(AnAnswerRecorder, HoldsAnAnswerWithoutALengthBeforeItsEndIsPassedOn)
    {
        pass(std::nullopt, { "abc", "def" });
        EXPECT_FALSE(receiver.recordedAtLastPart);
        EXPECT_EQ(receiver.recordedAtEnd, "abcdef");
    }

    TEST_F(AnAnswerRecorder, HoldsNoAnswerOverItsBound)
    {
        pass(6, { "abc", "def" }, 4);
        EXPECT_FALSE(receiver.recorded);
        EXPECT_EQ(receiver.body, "abcdef");
    }

} // namespace
} // namespace yuccashift
