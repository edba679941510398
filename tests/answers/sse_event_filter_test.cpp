#include "yuccashift/answers/sse_event_filter.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    TEST(AnSseEventFilter, ForwardsOnlyCompleteEventsHoweverTheStreamIsSplit)
    {
        const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
        for (std::size_t step = 1; step < stream.size(); ++step) {
            SseEventFilter gate;
            std::string forwarded;
            for (std::size_t at = 0; at < stream.size(); at += step)
                gate.feed(std::string_view(stream).substr(at, step), forwarded);
            EXPECT_EQ(forwarded, stream);
            EXPECT_EQ(gate.lastId(), "3");
        }
    }

    TEST(AnSseEventFilter, HoldsBackAnIncompleteEvent)
    {
        SseEventFilter gate;
        std::string forwarded;
        gate.feed("id: 1\ndata: a\n\nid: 2\ndata:", forwarded);
        EXPECT_EQ(forwarded, "id: 1\ndata: a\n\n");
        EXPECT_EQ(gate.incompleteEvent(), "id: 2\ndata:");
    }

    TEST(AnSseEventFilter, NeverJoinsPartsOfEventsFromTwoServers)
    {
        SseEventFilter gate;
        std::string forwarded;
        gate.feed("id: 1\ndata: a\n\nid: 2\nda", forwarded);
        gate.discardIncompleteEvent();
        gate.feed("id: 2\ndata: b\n\n", forwarded);
        EXPECT_EQ(forwarded, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    TEST(AnSseEventFilter, DropsEventsThatItForwardedBefore)
    {
        SseEventFilter gate;
        std::string forwarded;
        gate.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", forwarded);
        gate.discardIncompleteEvent();
        gate.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", forwarded);
        EXPECT_EQ(forwarded, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        EXPECT_EQ(gate.events(), 3u);
    }

    TEST(AnSseEventFilter, ForwardsEventsWithoutAnId)
    {
        SseEventFilter gate;
        std::string forwarded;
        gate.feed(": comment\n\ndata: x\n\n", forwarded);
        EXPECT_EQ(forwarded, ": comment\n\ndata: x\n\n");
        EXPECT_FALSE(gate.lastId());
    }

} // namespace
} // namespace yuccashift
