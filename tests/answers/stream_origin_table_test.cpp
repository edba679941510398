#include "yuccashift/answers/stream_origin_table.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    TEST(AStreamOriginTable, KeepsTheFirstRecordOfAnAttemptForItsLifetime)
    {
        VirtualClock clock;
        StreamOriginTable table;
        table.record(1, 10, clock.now());
        table.record(1, 20, clock.now());
        for (int n = 0; n < 2; ++n) {
            EXPECT_EQ(table.find(1), 10u);
            clock.advance(StreamOriginTable::lifetime / 2);
            table.record(static_cast<AttemptHash>(100 + n), 10, clock.now());
        }
        EXPECT_EQ(table.find(2), 0u);
        clock.advance(2 * StreamOriginTable::lifetime);
        table.record(3, 10, clock.now());
        clock.advance(2 * StreamOriginTable::lifetime);
        table.record(4, 10, clock.now());
        EXPECT_EQ(table.find(1), 0u);
    }

    TEST(AStreamOriginTable, HoldsABoundedNumberOfEntriesAndDropsTheOldest)
    {
        const VirtualClock clock;
        StreamOriginTable table;
        for (AttemptHash it = 1; it <= 3 * StreamOriginTable::maxEntries; ++it)
            table.record(it, 10, clock.now());
        EXPECT_LE(table.size(), StreamOriginTable::maxEntries);
        EXPECT_EQ(table.find(1), 0u);
        EXPECT_EQ(table.find(3 * StreamOriginTable::maxEntries), 10u);
    }

} // namespace
} // namespace yuccashift
