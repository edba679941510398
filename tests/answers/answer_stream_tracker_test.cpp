#include "yuccashift/answers/answer_stream_tracker.hpp"
#include "yuccashift/answers/stream_deduplicator.hpp"

#include <gtest/gtest.h>
#include <limits>

namespace yuccashift {
namespace {

    struct AnAnswerInFrames : testing::Test {
        AnswerStreamTracker tracker;
        StreamId id = tracker.open();

        void expectDelivered(const Result<FrameAction>& use) { EXPECT_TRUE(use && *use == FrameAction::Deliver); }
        void expectDropped(const Result<FrameAction>& use) { EXPECT_TRUE(use && *use == FrameAction::Drop); }
        void expectIncomplete(const Result<FrameAction>& use)
        {
            ASSERT_FALSE(use);
            EXPECT_EQ(use.error().kind, ErrorKind::AnswerIncomplete);
            EXPECT_FALSE(tracker.isOpen(id));
        }
    };

    TEST_F(AnAnswerInFrames, IsCompleteWhenEveryByteArrivedInOrder)
    {
        expectDelivered(tracker.onHead(id));
        expectDelivered(tracker.onChunk(id, 0, 10));
        expectDelivered(tracker.onChunk(id, 10, 5));
        EXPECT_EQ(tracker.deliveredBytes(id), 15U);
        expectDelivered(tracker.onEnd(id, 15));
        EXPECT_EQ(tracker.openCount(), 0U);
    }

    TEST_F(AnAnswerInFrames, DropsFramesAfterItsEnd)
    {
        expectDelivered(tracker.onHead(id));
        expectDelivered(tracker.onEnd(id, 0));
        expectDropped(tracker.onHead(id));
        expectDropped(tracker.onChunk(id, 0, 3));
        expectDropped(tracker.onEnd(id, 0));
    }

    TEST_F(AnAnswerInFrames, DropsADuplicateChunk)
    {
        expectDelivered(tracker.onHead(id));
        expectDelivered(tracker.onChunk(id, 0, 10));
        expectDropped(tracker.onChunk(id, 0, 10));
        expectDropped(tracker.onChunk(id, 4, 2));
        EXPECT_EQ(tracker.deliveredBytes(id), 10U);
    }

    TEST_F(AnAnswerInFrames, FailsOnAChunkOutOfOrder)
    {
        expectDelivered(tracker.onHead(id));
        expectIncomplete(tracker.onChunk(id, 10, 5));
        expectDropped(tracker.onChunk(id, 0, 10));
    }

    TEST_F(AnAnswerInFrames, FailsOnAChunkThatOverlapsTheDeliveredBytes)
    {
        expectDelivered(tracker.onHead(id));
        expectDelivered(tracker.onChunk(id, 0, 10));
        expectIncomplete(tracker.onChunk(id, 5, 10));
    }

    TEST_F(AnAnswerInFrames, FailsOnASizeThatOverflowsTheOffset)
    {
        expectDelivered(tracker.onHead(id));
        expectDelivered(tracker.onChunk(id, 0, 10));
        expectIncomplete(tracker.onChunk(id, 8, std::numeric_limits<std::uint64_t>::max()));
    }

    TEST_F(AnAnswerInFrames, FailsWithoutItsHead) { expectIncomplete(tracker.onChunk(id, 0, 1)); }

    TEST_F(AnAnswerInFrames, FailsOnASecondHead)
    {
        expectDelivered(tracker.onHead(id));
        expectIncomplete(tracker.onHead(id));
    }

    TEST_F(AnAnswerInFrames, FailsWhenShorterThanItsEndMarkSays)
    {
        expectDelivered(tracker.onHead(id));
        expectDelivered(tracker.onChunk(id, 0, 9));
        expectIncomplete(tracker.onEnd(id, 10));
    }

    TEST_F(AnAnswerInFrames, NeverReachesTheNextRequestOverAReconnect)
    {
        expectDelivered(tracker.onHead(id));
        EXPECT_EQ(tracker.reconnect(), std::vector { id });
        const auto next = tracker.open();
        EXPECT_NE(next.stream, id.stream);
        expectDropped(tracker.onChunk(id, 0, 3));
        expectDropped(tracker.onChunk({ id.connection, next.stream }, 0, 3));
        expectDropped(tracker.onEnd({ id.connection, next.stream }, 0));
        EXPECT_TRUE(tracker.isOpen(next));
    }

    TEST_F(AnAnswerInFrames, NeverReachesTheNextRequestAfterACancel)
    {
        tracker.close(id);
        const auto next = tracker.open();
        expectDropped(tracker.onHead(id));
        expectDelivered(tracker.onHead(next));
        expectDropped(tracker.onChunk(id, 0, 3));
        EXPECT_EQ(tracker.deliveredBytes(next), 0U);
    }

    TEST(ARequestInFrames, StartsWorkOnceHoweverOftenItArrives)
    {
        StreamDeduplicator deduplicator;
        EXPECT_TRUE(deduplicator.accept(1));
        EXPECT_FALSE(deduplicator.accept(1)) << "duplicate";
        EXPECT_TRUE(deduplicator.accept(5));
        EXPECT_TRUE(deduplicator.accept(4)) << "another thread opened the later stream first";
        EXPECT_FALSE(deduplicator.accept(4)) << "duplicate";
        EXPECT_FALSE(deduplicator.accept(5));
        EXPECT_FALSE(deduplicator.accept(0)) << "stream 0 carries control";
        EXPECT_FALSE(deduplicator.accept(-1));
        EXPECT_TRUE(deduplicator.accept(6));
    }

    TEST(ARequestInFrames, IsRejectedBelowTheWindow)
    {
        constexpr auto windowSize = static_cast<std::int64_t>(StreamDeduplicator::window);
        StreamDeduplicator deduplicator;
        EXPECT_TRUE(deduplicator.accept(1));
        EXPECT_TRUE(deduplicator.accept(1 + windowSize));
        EXPECT_FALSE(deduplicator.accept(1));
        EXPECT_TRUE(deduplicator.accept(2)) << "the oldest number within the window";
        EXPECT_TRUE(deduplicator.accept(10 * windowSize));
        EXPECT_FALSE(deduplicator.accept(1 + windowSize));
        EXPECT_TRUE(deduplicator.accept(10 * windowSize - 1)) << "a jump beyond the window clears the record";
        EXPECT_FALSE(deduplicator.accept(10 * windowSize - 1));
        EXPECT_TRUE(deduplicator.accept(std::numeric_limits<std::int64_t>::max()));
        EXPECT_FALSE(deduplicator.accept(std::numeric_limits<std::int64_t>::max()));
        EXPECT_FALSE(deduplicator.accept(std::numeric_limits<std::int64_t>::min()));
    }

} // namespace
} // namespace yuccashift
