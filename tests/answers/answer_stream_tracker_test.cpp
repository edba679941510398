#include "yuccashift/answers/answer_stream_tracker.hpp"
#include "yuccashift/answers/stream_deduplicator.hpp"

#include <gtest/gtest.h>
#include <limits>

namespace yuccashift {
namespace {

    struct AnAnswerInFrames : testing::Test {
        AnswerStreamTracker ledger;
        StreamId id = ledger.open();

        void expectDelivered(const Result<FrameAction>& use) { EXPECT_TRUE(use && *use == FrameAction::Deliver); }
        void expectDropped(const Result<FrameAction>& use) { EXPECT_TRUE(use && *use == FrameAction::Drop); }
        void expectIncomplete(const Result<FrameAction>& use)
        {
            ASSERT_FALSE(use);
            EXPECT_EQ(use.error().kind, ErrorKind::AnswerIncomplete);
            EXPECT_FALSE(ledger.isOpen(id));
        }
    };

    TEST_F(AnAnswerInFrames, IsCompleteWhenEveryByteArrivedInOrder)
    {
        expectDelivered(ledger.onHead(id));
        expectDelivered(ledger.onChunk(id, 0, 10));
        expectDelivered(ledger.onChunk(id, 10, 5));
        EXPECT_EQ(ledger.deliveredBytes(id), 15U);
        expectDelivered(ledger.onEnd(id, 15));
        EXPECT_EQ(ledger.openCount(), 0U);
    }

    TEST_F(AnAnswerInFrames, DropsFramesAfterItsEnd)
    {
        expectDelivered(ledger.onHead(id));
        expectDelivered(ledger.onEnd(id, 0));
        expectDropped(ledger.onHead(id));
        expectDropped(ledger.onChunk(id, 0, 3));
        expectDropped(ledger.onEnd(id, 0));
    }

    TEST_F(AnAnswerInFrames, DropsADuplicateChunk)
    {
        expectDelivered(ledger.onHead(id));
        expectDelivered(ledger.onChunk(id, 0, 10));
        expectDropped(ledger.onChunk(id, 0, 10));
        expectDropped(ledger.onChunk(id, 4, 2));
        EXPECT_EQ(ledger.deliveredBytes(id), 10U);
    }

    TEST_F(AnAnswerInFrames, FailsOnAChunkOutOfOrder)
    {
        expectDelivered(ledger.onHead(id));
        expectIncomplete(ledger.onChunk(id, 10, 5));
        expectDropped(ledger.onChunk(id, 0, 10));
    }

    TEST_F(AnAnswerInFrames, FailsOnAChunkThatOverlapsTheDeliveredBytes)
    {
        expectDelivered(ledger.onHead(id));
        expectDelivered(ledger.onChunk(id, 0, 10));
        expectIncomplete(ledger.onChunk(id, 5, 10));
    }

    TEST_F(AnAnswerInFrames, FailsOnASizeThatOverflowsTheOffset)
    {
        expectDelivered(ledger.onHead(id));
        expectDelivered(ledger.onChunk(id, 0, 10));
        expectIncomplete(ledger.onChunk(id, 8, std::numeric_limits<std::uint64_t>::max()));
    }

    TEST_F(AnAnswerInFrames, FailsWithoutItsHead) { expectIncomplete(ledger.onChunk(id, 0, 1)); }

    TEST_F(AnAnswerInFrames, FailsOnASecondHead)
    {
        expectDelivered(ledger.onHead(id));
        expectIncomplete(ledger.onHead(id));
    }

    TEST_F(AnAnswerInFrames, FailsWhenShorterThanItsEndMarkSays)
    {
        expectDelivered(ledger.onHead(id));
        expectDelivered(ledger.onChunk(id, 0, 9));
        expectIncomplete(ledger.onEnd(id, 10));
    }

    TEST_F(AnAnswerInFrames, NeverReachesTheNextRequestOverAReconnect)
    {
        expectDelivered(ledger.onHead(id));
        EXPECT_EQ(ledger.reconnect(), std::vector { id });
        const auto next = ledger.open();
        EXPECT_NE(next.stream, id.stream);
        expectDropped(ledger.onChunk(id, 0, 3));
        expectDropped(ledger.onChunk({ id.connection, next.stream }, 0, 3));
        expectDropped(ledger.onEnd({ id.connection, next.stream }, 0));
        EXPECT_TRUE(ledger.isOpen(next));
    }

    TEST_F(AnAnswerInFrames, NeverReachesTheNextRequestAfterACancel)
    {
        ledger.close(id);
        const auto next = ledger.open();
        expectDropped(ledger.onHead(id));
        expectDelivered(ledger.onHead(next));
        expectDropped(ledger.onChunk(id, 0, 3));
        EXPECT_EQ(ledger.deliveredBytes(next), 0U);
    }

    TEST(ARequestInFrames, StartsWorkOnceHoweverOftenItArrives)
    {
        StreamDeduplicator intake;
        EXPECT_TRUE(intake.accept(1));
        EXPECT_FALSE(intake.accept(1)) << "duplicate";
        EXPECT_TRUE(intake.accept(5));
        EXPECT_TRUE(intake.accept(4)) << "another thread opened the later stream first";
        EXPECT_FALSE(intake.accept(4)) << "duplicate";
        EXPECT_FALSE(intake.accept(5));
        EXPECT_FALSE(intake.accept(0)) << "stream 0 carries control";
        EXPECT_FALSE(intake.accept(-1));
        EXPECT_TRUE(intake.accept(6));
    }

    TEST(ARequestInFrames, IsRejectedBelowTheWindow)
    {
        constexpr auto windowSize = static_cast<std::int64_t>(StreamDeduplicator::window);
        StreamDeduplicator intake;
        EXPECT_TRUE(intake.accept(1));
        EXPECT_TRUE(intake.accept(1 + windowSize));
        EXPECT_FALSE(intake.accept(1));
        EXPECT_TRUE(intake.accept(2)) << "the oldest number within the window";
        EXPECT_TRUE(intake.accept(10 * windowSize));
        EXPECT_FALSE(intake.accept(1 + windowSize));
        EXPECT_TRUE(intake.accept(10 * windowSize - 1)) << "a jump beyond the window clears the record";
        EXPECT_FALSE(intake.accept(10 * windowSize - 1));
        EXPECT_TRUE(intake.accept(std::numeric_limits<std::int64_t>::max()));
        EXPECT_FALSE(intake.accept(std::numeric_limits<std::int64_t>::max()));
        EXPECT_FALSE(intake.accept(std::numeric_limits<std::int64_t>::min()));
    }

} // namespace
} // namespace yuccashift
