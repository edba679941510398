#include "benchmarks/capacity/fit.hpp"

#include <gtest/gtest.h>

namespace yuccashift::capacity {
namespace {

    TEST(Fit, FindsTheLineThatPointsLieOn)
    {
        const auto slope = fitLine("s", "us", "member", { { 1, 7 }, { 2, 9 }, { 4, 13 }, { 8, 21 } });
        EXPECT_NEAR(slope.base, 5, 1e-9);
        EXPECT_NEAR(slope.perUnit, 2, 1e-9);
        EXPECT_NEAR(slope.residuePercent, 0, 1e-9);
    }

    TEST(Fit, TheResidueTellsThatPointsBend)
    {
        const auto slope = fitLine("s", "us", "member", { { 1, 1 }, { 2, 4 }, { 4, 16 }, { 8, 64 } });
        EXPECT_GT(slope.residuePercent, 20);
    }

    TEST(Fit, RefusesFewerThanFourSizes)
    {
        EXPECT_THROW(fitLine("s", "us", "member", { { 1, 1 }, { 2, 2 }, { 3, 3 } }), std::runtime_error);
    }

    TEST(Fit, SlopesSurviveTheirFile)
    {
        Slopes slopes;
        slopes.emplace("s", fitLine("s", "us", "member", { { 1, 7 }, { 2, 9 }, { 4, 13.5 }, { 8, 21 } }));
        const auto read = slopesFromJson(slopesToJson(slopes));
        ASSERT_TRUE(read.contains("s"));
        EXPECT_EQ(read.at("s").perUnit, slopes.at("s").perUnit);
        EXPECT_EQ(read.at("s").against, "member");
        EXPECT_EQ(slopesToJson(read), slopesToJson(slopes));
    }

} // namespace
} // namespace yuccashift::capacity
