#include "yuccashift/answers/sse_event_splitter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace yuccashift {
namespace {

    std::vector<std::string> eventsOf(SseEventSplitter& splitter, std::string_view bytes)
    {
        std::vector<std::string> events;
        splitter.feed(bytes);
        while (const auto event = splitter.next())
            events.emplace_back(*event);
        return events;
    }

    TEST(AnSseEventSplitter, FindsTheSameEventsHoweverTheStreamIsSplit)
    {
        const std::vector<std::string> expected { "data: a\n\n", "id: 2\r\ndata: b\r\n\r\n", "data: c\r\n\n", ": comment\n\n" };
        std::string stream;
        for (const auto& it : expected)
            stream += it;
        for (std::size_t step = 1; step <= stream.size(); ++step) {
            SseEventSplitter splitter;
            std::vector<std::string> events;
            for (std::size_t at = 0; at < stream.size(); at += step) {
                const auto found = eventsOf(splitter, std::string_view(stream).substr(at, step));
                events.insert(events.end(), found.begin(), found.end());
            }
            EXPECT_EQ(events, expected) << step;
            EXPECT_FALSE(splitter.endsInsideEvent()) << step;
        }
    }

    TEST(AnSseEventSplitter, KnowsAtEachByteWhetherAStreamMayEndThere)
    {
        const std::string stream = "data: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n";
        for (std::size_t n = 0; n <= stream.size(); ++n) {
            const bool mayEnd = n == 0 || n == 9 || n == 27 || n == stream.size();
            EXPECT_EQ(endsInsideEvent(std::string_view(stream).substr(0, n)), !mayEnd) << n;
        }
    }

    TEST(AnSseEventSplitter, ForgetsAnIncompleteEventThatIsDiscarded)
    {
        SseEventSplitter splitter;
        EXPECT_EQ(eventsOf(splitter, "data: a\n\nid: 2\nda").size(), 1u);
        EXPECT_EQ(splitter.incompleteEvent(), "id: 2\nda");
        EXPECT_TRUE(splitter.endsInsideEvent());
        splitter.discardIncompleteEvent();
        EXPECT_FALSE(splitter.endsInsideEvent());
        EXPECT_EQ(eventsOf(splitter, "data: b\n\n"), (std::vector<std::string> { "data: b\n\n" }));
    }

    RC_GTEST_PROP(AnSseEventSplitter, LosesAndAddsNoByte, ())
    {
        const auto parts = *rc::gen::container<std::vector<std::string>>(rc::gen::container<std::string>(rc::gen::element('\n', '\r', ':', 'd')));
        SseEventSplitter splitter;
        std::string sent;
        std::string found;
        for (const auto& it : parts) {
            sent += it;
            for (const auto& event : eventsOf(splitter, it))
                found += event;
        }
        found += splitter.incompleteEvent();
        RC_ASSERT(found == sent);
    }

} // namespace
} // namespace yuccashift
