#include "yuccashift/answers/sse_tracker.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    constexpr std::size_t bound = 256;

    std::string token(std::uint32_t index)
    {
        return "data: {\"choices\":[{\"token_index\":" + std::to_string(index) + ",\"delta\":{\"content\":\"a\"}}]}\n\n";
    }

    const std::string endMark = "data: [DONE]\n\n";

    struct AStreamOfEvents : testing::Test {
        SseTracker tracker { bound };
        std::string whole;
    };

    TEST_F(AStreamOfEvents, IsForwardedInWholeEventsHoweverItIsCut)
    {
        const auto text = token(0) + ": comment\r\n\r\n" + token(1) + token(2) + endMark;
        for (std::size_t step = 1; step <= text.size(); ++step) {
            SseTracker cut { bound };
            std::string out;
            for (std::size_t n = 0; n < text.size(); n += step) {
                ASSERT_TRUE(cut.feed(std::string_view(text).substr(n, step), out));
                EXPECT_TRUE(out.empty() || out.ends_with("\n\n") || out.ends_with("\n\r\n"));
                EXPECT_EQ(text.substr(0, out.size()), out);
            }
            EXPECT_EQ(out, text);
            EXPECT_EQ(cut.tokens(), 3U);
            EXPECT_TRUE(cut.done());
            EXPECT_EQ(cut.pendingBytes(), 0U);
        }
    }

    TEST_F(AStreamOfEvents, IsNotDoneUntilTheEndMarkIsWhole)
    {
        ASSERT_TRUE(tracker.feed(token(0) + "data: [DONE]\n", whole));
        EXPECT_FALSE(tracker.done());
        EXPECT_EQ(whole, token(0));
        ASSERT_TRUE(tracker.feed("\n", whole));
        EXPECT_TRUE(tracker.done());
    }

    TEST_F(AStreamOfEvents, DropsWhatFollowsTheEndMark)
    {
        ASSERT_TRUE(tracker.feed(token(0) + endMark + token(1), whole));
        ASSERT_TRUE(tracker.feed(token(1), whole));
        EXPECT_EQ(whole, token(0) + endMark);
        EXPECT_EQ(tracker.tokens(), 1U);
    }

    TEST_F(AStreamOfEvents, TakesTheEndMarkOnlyAsAWholePayload)
    {
        ASSERT_TRUE(tracker.feed("data: {\"content\":\"data: [DONE]\"}\n\n: data: [DONE]\n\ndata: [DONE]x\n\n", whole));
        EXPECT_FALSE(tracker.done());
        EXPECT_EQ(tracker.tokens(), 1U);
    }

    TEST_F(AStreamOfEvents, DropsADoubledTokenAndRefusesAMissingOne)
    {
        ASSERT_TRUE(tracker.feed(token(0) + token(1) + token(1) + token(0), whole));
        EXPECT_EQ(whole, token(0) + token(1));
        const auto skipped = tracker.feed(token(3), whole);
        ASSERT_FALSE(skipped);
        EXPECT_EQ(skipped.error().kind, ErrorKind::AnswerIncomplete);
        EXPECT_FALSE(tracker.feed(token(2), whole)) << "a failed stream stays failed";
        EXPECT_EQ(whole, token(0) + token(1));
    }

    TEST_F(AStreamOfEvents, HoldsNoMoreThanItsBound)
    {
        const auto result = tracker.feed("data: " + std::string(bound, 'x'), whole);
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error().kind, ErrorKind::AnswerIncomplete);
        EXPECT_EQ(tracker.pendingBytes(), 0U);
        EXPECT_TRUE(whole.empty());
    }

    TEST_F(AStreamOfEvents, RefusesATooLongEventThatArrivesWhole)
    {
        EXPECT_FALSE(tracker.feed("data: {" + std::string(bound, 'x') + "}\n\n", whole));
        EXPECT_TRUE(whole.empty());
    }

    TEST_F(AStreamOfEvents, GoesOnAtTheExactTokenAfterAResume)
    {
        ASSERT_TRUE(tracker.feed(token(0) + token(1) + token(2).substr(0, 10), whole));
        EXPECT_EQ(tracker.tokens(), 2U);
        tracker.resume();
        ASSERT_TRUE(tracker.feed(token(2) + endMark, whole));
        EXPECT_EQ(whole, token(0) + token(1) + token(2) + endMark);
    }

    TEST_F(AStreamOfEvents, IsNotDoubledByAServerThatStartsFromZero)
    {
        ASSERT_TRUE(tracker.feed(token(0) + token(1), whole));
        tracker.resume();
        ASSERT_TRUE(tracker.feed(token(0) + token(1) + token(2), whole));
        EXPECT_EQ(whole, token(0) + token(1) + token(2));
    }

    TEST_F(AStreamOfEvents, IsNotResumedByAServerThatNumbersNothing)
    {
        ASSERT_TRUE(tracker.feed("data: {}\n\n", whole));
        tracker.resume();
        EXPECT_FALSE(tracker.feed("data: {}\n\n", whole));
    }

} // namespace
} // namespace yuccashift
