#include "yuccashift/observe/event_log.hpp"

#include <array>
#include <gtest/gtest.h>
#include <unistd.h>

namespace yuccashift {
namespace {

    struct AnEventLog : testing::Test {
        AnEventLog() { EXPECT_EQ(::pipe(ends.data()), 0); }
        ~AnEventLog() override
        {
            for (const int end : ends)
                ::close(end);
        }

        std::string readAvailable()
        {
            std::array<char, 65536> buf {};
            const auto n = ::read(ends[0], buf.data(), buf.size());
            return { buf.data(), static_cast<std::size_t>(std::max<ssize_t>(0, n)) };
        }

        std::array<int, 2> ends {};
        VirtualClock clock;
    };

    TEST_F(AnEventLog, WritesOneStructuredLineForAnEvent)
    {
        EventLog log(clock, ends[1], "sofia-1");
        log.write(LogLevel::Info, "request served", { { "request", "r1" }, { "took_ms", 12 }, { "why", "a b\n" } });
        log.flush();
        const auto text = readAvailable();
        EXPECT_TRUE(text.starts_with("time="));
        EXPECT_NE(text.find(" level=info instance=sofia-1 event=\"request served\" request=r1 took_ms=12 why=\"a b\\x0a\"\n"), std::string::npos) << text;
    }

    TEST_F(AnEventLog, LimitsTheRateOfEachMessageAndReportsTheDroppedLines)
    {
        EventLog log(clock, ends[1], "sofia-1", { 5, 1, 1 << 20 });
        for (int n = 0; n < 20; ++n)
            log.write(LogLevel::Info, "busy", {});
        log.write(LogLevel::Warning, "rare", {});
        EXPECT_EQ(log.droppedLineCount(), 15u);
        clock.advance(seconds(2));
        log.flush();
        const auto text = readAvailable();
        EXPECT_NE(text.find("event=rare"), std::string::npos);
        EXPECT_NE(text.find("event=\"log lines dropped\" of=busy count=15"), std::string::npos) << text;
    }

    // Guards against a daemon that blocks because no process reads its standard output and the pipe is full.
    TEST_F(AnEventLog, NeverBlocksAndDropsInfoLinesBeforeWarnings)
    {
        EventLog log(clock, ends[1], "sofia-1", { 1e9, 1e9, 20000 });
        for (int n = 0; n < 3000; ++n) {
            log.write(LogLevel::Info, "fine", { { "number", n } });
            log.flush();
        }
        log.write(LogLevel::Warning, "broken", {});
        log.flush();
        EXPECT_LE(log.queuedBytes(), 20000u);
        EXPECT_GT(log.droppedLineCount(), 0u);
        std::string text;
        while (log.queuedBytes() > 0) {
            text += readAvailable();
            log.flush();
        }
        text += readAvailable();
        EXPECT_NE(text.find("event=broken"), std::string::npos);
    }

} // namespace
} // namespace yuccashift
