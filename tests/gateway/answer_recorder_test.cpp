#include "yuccashift/gateway/answer_recorder.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    namespace asio = boost::asio;

    /** Stores what had been recorded when the receiver got the last chunk and the end. */
    struct Receiver final : AnswerSink {
        asio::awaitable<bool> head(AnswerHead) override { co_return true; }
        asio::awaitable<bool> chunk(std::string_view data) override
        {
            body += data;
            recordedAtLastChunk = recorded;
            co_return true;
        }
        asio::awaitable<bool> end() override
        {
            recordedAtEnd = recorded;
            co_return true;
        }
        asio::awaitable<void> fail(const Error&, const HeaderFields&) override { co_return; }
        bool headSent() const override { return true; }

        std::string body;
        std::optional<std::string> recorded;
        std::optional<std::string> recordedAtLastChunk;
        std::optional<std::string> recordedAtEnd;
    };

    struct AnAnswerRecorder : testing::Test {
        void forward(std::optional<std::size_t> length, const std::vector<std::string>& chunks, std::size_t maxBytes = 100)
        {
            asio::io_context io;
            AnswerRecorder recorder(receiver, maxBytes, [this](StoredAnswer answer) { receiver.recorded = std::move(answer.body); });
            asio::co_spawn(io, run(recorder, length, chunks), asio::detached);
            io.run();
        }

        static asio::awaitable<void> run(AnswerRecorder& recorder, std::optional<std::size_t> length, std::vector<std::string> chunks)
        {
            AnswerHead head;
            head.length = length;
            co_await recorder.head(std::move(head));
            for (const auto& chunkData : chunks)
                co_await recorder.chunk(chunkData);
            co_await recorder.end();
        }

        Receiver receiver;
    };

    // Guards against a race seen once in CI on a busy machine: a caller that had the whole answer sent its key again
    // and got `in_progress`, because the answer was not recorded yet.
    TEST_F(AnAnswerRecorder, RecordsTheAnswerBeforeItsLastByteIsForwarded)
    {
        forward(6, { "abc", "def" });
        EXPECT_EQ(receiver.recordedAtLastChunk, "abcdef");
        EXPECT_EQ(receiver.body, "abcdef");
    }

    TEST_F(AnAnswerRecorder, RecordsAnAnswerWithoutALengthBeforeItsEndIsForwarded)
    {
        forward(std::nullopt, { "abc", "def" });
        EXPECT_FALSE(receiver.recordedAtLastChunk);
        EXPECT_EQ(receiver.recordedAtEnd, "abcdef");
    }

    TEST_F(AnAnswerRecorder, RecordsNoAnswerAboveTheLimit)
    {
        forward(6, { "abc", "def" }, 4);
        EXPECT_FALSE(receiver.recorded);
        EXPECT_EQ(receiver.body, "abcdef");
    }

} // namespace
} // namespace yuccashift
