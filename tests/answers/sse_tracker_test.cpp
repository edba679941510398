#include "yuccashift/answers/sse_tracker.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    constexpr std::size_t maxEventBytes = 256;

    std::string token(std::uint32_t index)
    {
        return "data: {\"choices\":[{\"token_index\":" + std::to_string(index) + ",\"delta\":{\"content\":\"a\"}}]}\n\n";
    }

    const std::string endMark = "data: [DONE]\n\n";

    struct AStreamOfEvents : testing::Test {
        SseTracker tracker { maxEventBytes };
        std::string forwarded;
    };

    TEST_F(AStreamOfEvents, IsForwardedInCompleteEventsHoweverItIsSplit)
    {
        const auto text = token(0) + ": comment\r\n\r\n" + token(1) + token(2) + endMark;
        for (std::size_t step = 1; step <= text.size(); ++step) {
            SseTracker splitTracker { maxEventBytes };
            std::string out;
            for (std::size_t n = 0; n < text.size(); n += step) {
                ASSERT_TRUE(splitTracker.feed(std::string_view(text).substr(n, step), out));
                EXPECT_TRUE(out.empty() || out.ends_with("\n\n") || out.ends_with("\n\r\n"));
                EXPECT_EQ(text.substr(0, out.size()), out);
            }
            EXPECT_EQ(out, text);
            EXPECT_EQ(splitTracker.tokenCount(), 3U);
            EXPECT_TRUE(splitTracker.done());
            EXPECT_EQ(splitTracker.pendingBytes(), 0U);
        }
    }

    TEST_F(AStreamOfEvents, IsNotDoneUntilTheEndMarkIsComplete)
    {
        ASSERT_TRUE(tracker.feed(token(0) + "data: [DONE]\n", forwarded));
        EXPECT_FALSE(tracker.done());
        EXPECT_EQ(forwarded, token(0));
        ASSERT_TRUE(tracker.feed("\n", forwarded));
        EXPECT_TRUE(tracker.done());
    }

    TEST_F(AStreamOfEvents, DropsBytesAfterTheEndMark)
    {
        ASSERT_TRUE(tracker.feed(token(0) + endMark + token(1), forwarded));
        ASSERT_TRUE(tracker.feed(token(1), forwarded));
        EXPECT_EQ(forwarded, token(0) + endMark);
        EXPECT_EQ(tracker.tokenCount(), 1U);
    }

    TEST_F(AStreamOfEvents, TakesTheEndMarkOnlyAsAWholePayload)
    {
        ASSERT_TRUE(tracker.feed("data: {\"content\":\"data: [DONE]\"}\n\n: data: [DONE]\n\ndata: [DONE]x\n\n", forwarded));
        EXPECT_FALSE(tracker.done());
        EXPECT_EQ(tracker.tokenCount(), 1U);
    }

    TEST_F(AStreamOfEvents, DropsADuplicateTokenAndFailsOnAMissingOne)
    {
        ASSERT_TRUE(tracker.feed(token(0) + token(1) + token(1) + token(0), forwarded));
        EXPECT_EQ(forwarded, token(0) + token(1));
        const auto skipped = tracker.feed(token(3), forwarded);
        ASSERT_FALSE(skipped);
        EXPECT_EQ(skipped.error().kind, ErrorKind::AnswerIncomplete);
        EXPECT_FALSE(tracker.feed(token(2), forwarded)) << "a failed stream stays failed";
        EXPECT_EQ(forwarded, token(0) + token(1));
    }

    TEST_F(AStreamOfEvents, FailsWhenAnIncompleteEventExceedsTheLimit)
    {
        const auto result = tracker.feed("data: " + std::string(maxEventBytes, 'x'), forwarded);
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error().kind, ErrorKind::AnswerIncomplete);
        EXPECT_EQ(tracker.pendingBytes(), 0U);
        EXPECT_TRUE(forwarded.empty());
    }

    TEST_F(AStreamOfEvents, FailsOnACompleteEventAboveTheLimit)
    {
        EXPECT_FALSE(tracker.feed("data: {" + std::string(maxEventBytes, 'x') + "}\n\n", forwarded));
        EXPECT_TRUE(forwarded.empty());
    }

    TEST_F(AStreamOfEvents, ContinuesAtTheNextTokenAfterAResume)
    {
        ASSERT_TRUE(tracker.feed(token(0) + token(1) + token(2).substr(0, 10), forwarded));
        EXPECT_EQ(tracker.tokenCount(), 2U);
        tracker.resume();
        ASSERT_TRUE(tracker.feed(token(2) + endMark, forwarded));
        EXPECT_EQ(forwarded, token(0) + token(1) + token(2) + endMark);
    }

    TEST_F(AStreamOfEvents, HasNoDuplicatesWhenTheServerStartsFromZero)
    {
        ASSERT_TRUE(tracker.feed(token(0) + token(1), forwarded));
        tracker.resume();
        ASSERT_TRUE(tracker.feed(token(0) + token(1) + token(2), forwarded));
        EXPECT_EQ(forwarded, token(0) + token(1) + token(2));
    }

    TEST_F(AStreamOfEvents, IsNotResumedByAServerThatSendsNoTokenIndices)
    {
        ASSERT_TRUE(tracker.feed("data: {}\n\n", forwarded));
        tracker.resume();
        EXPECT_FALSE(tracker.feed("data: {}\n\n", forwarded));
    }

} // namespace
} // namespace yuccashift
