#include "yuccashift/answers/event_gate.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    TEST(AnEventGate, LetsOnlyWholeEventsThroughHoweverTheyAreCut)
    {
        const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
        for (std::size_t step = 1; step < stream.size(); ++step) {
            EventGate gate;
            std::string whole;
            for (std::size_t at = 0; at < stream.size(); at += step)
                gate.feed(std::string_view(stream).substr(at, step), whole);
            EXPECT_EQ(whole, stream);
            EXPECT_EQ(gate.lastId(), "3");
        }
    }

    TEST(AnEventGate, KeepsAnUnfinishedEventBack)
    {
        EventGate gate;
        std::string whole;
        gate.feed("id: 1\ndata: a\n\nid: 2\ndata:", whole);
        EXPECT_EQ(whole, "id: 1\ndata: a\n\n");
        EXPECT_EQ(gate.rest(), "id: 2\ndata:");
    }

    TEST(AnEventGate, JoinsNoPiecesOfTwoServers)
    {
        EventGate gate;
        std::string whole;
        gate.feed("id: 1\ndata: a\n\nid: 2\nda", whole);
        gate.restart();
        gate.feed("id: 2\ndata: b\n\n", whole);
        EXPECT_EQ(whole, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    TEST(AnEventGate, DropsEventsThatWereLetThroughBefore)
    {
        EventGate gate;
        std::string whole;
        gate.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", whole);
        gate.restart();
        gate.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", whole);
        EXPECT_EQ(whole, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        EXPECT_EQ(gate.events(), 3u);
    }

    TEST(AnEventGate, PassesEventsWithoutAnId)
    {
        EventGate gate;
        std::string whole;
        gate.feed(": comment\n\ndata: x\n\n", whole);
        EXPECT_EQ(whole, ": comment\n\ndata: x\n\n");
        EXPECT_FALSE(gate.lastId());
    }

} // namespace
} // namespace yuccashift
