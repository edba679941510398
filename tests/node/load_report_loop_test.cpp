#include "yuccashift/node/load_report_loop.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    TEST(LoadPollInterval, GrowsWithTheNumberOfWatchedServersWithinItsLimits)
    {
        EXPECT_EQ(loadPollInterval(0), milliseconds(500));
        EXPECT_EQ(loadPollInterval(3), milliseconds(500));
        EXPECT_EQ(loadPollInterval(20), milliseconds(2000));
        EXPECT_EQ(loadPollInterval(500), milliseconds(3000));
    }

} // namespace
} // namespace yuccashift
