#include "yuccashift/dispatch/prefix_home.hpp"

#include <gtest/gtest.h>
#include <map>
#include <vector>

namespace yuccashift {
namespace {

    constexpr std::uint64_t prefixes = 3000;

    struct APrefixHome : testing::Test {
        std::vector<RegionCapacity> regions { { "lagos", 9 }, { "abuja", 6 }, { "port-harcourt", 3 } };

        RegionName homeOf(std::uint64_t prefix) const { return prefixHomeRegion(prefix, regions).value(); }
    };

    TEST_F(APrefixHome, DistributesPrefixesInProportionToServers)
    {
        std::map<RegionName, double> count;
        for (std::uint64_t i = 0; i < prefixes; ++i)
            ++count[homeOf(i)];
        EXPECT_NEAR(count["lagos"] / prefixes, 9.0 / 18, 0.03);
        EXPECT_NEAR(count["abuja"] / prefixes, 6.0 / 18, 0.03);
        EXPECT_NEAR(count["port-harcourt"] / prefixes, 3.0 / 18, 0.03);
    }

    TEST_F(APrefixHome, DoesNotDependOnTheOrderOfTheRegions)
    {
        const auto before = regions;
        for (std::uint64_t i = 0; i < prefixes; ++i) {
            regions = before;
            const auto home = homeOf(i);
            regions = { before[2], before[0], before[1] };
            EXPECT_EQ(homeOf(i), home);
        }
    }

    TEST_F(APrefixHome, MovesNoPrefixBetweenUnchangedRegions)
    {
        const auto before = regions;
        for (std::uint64_t i = 0; i < prefixes; ++i) {
            regions = before;
            const auto home = homeOf(i);
            regions[2].serverCount = 1;
            if (home == "port-harcourt")
                continue;
            EXPECT_EQ(homeOf(i), home);
        }
    }

    TEST_F(APrefixHome, SkipsRegionsWithoutServers)
    {
        regions[0].serverCount = 0;
        for (std::uint64_t i = 0; i < prefixes; ++i)
            EXPECT_NE(homeOf(i), "lagos");
        for (auto& it : regions)
            it.serverCount = 0;
        EXPECT_FALSE(prefixHomeRegion(7, regions));
    }

} // namespace
} // namespace yuccashift
