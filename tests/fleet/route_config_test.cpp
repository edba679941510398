#include "yuccashift/fleet/route_config.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    Route route(const std::string& host, const std::string& prefix, const std::string& service)
    {
        Route it;
        it.name = host + prefix;
        it.host = host;
        it.pathPrefix = prefix;
        it.services = { { service, 1 } };
        return it;
    }

    struct ARouteIndex : testing::Test {
        static RouteIndex make()
        {
            RouteConfig config;
            config.routes = { route("a.example", "/x/", "short"), route("a.example", "/x/y/", "long"), route("b.example", "/", "other") };
            return RouteIndex(config);
        }
        RouteIndex index = make();
    };

    TEST_F(ARouteIndex, FindsTheRouteWithTheLongestMatchingPrefix)
    {
        EXPECT_EQ(index.find("a.example", "/x/y/z")->services[0].service, "long");
        EXPECT_EQ(index.find("a.example", "/x/yy")->services[0].service, "short");
        EXPECT_EQ(index.find("a.example", "/x"), nullptr);
    }

    TEST_F(ARouteIndex, IgnoresTheQueryOfATarget)
    {
        EXPECT_EQ(index.find("a.example", "/x/?next=/x/y/")->services[0].service, "short");
        EXPECT_EQ(index.find("a.example", "/q?/x/y/"), nullptr);
    }

    TEST_F(ARouteIndex, IgnoresTheCaseAndPortOfAHost)
    {
        EXPECT_NE(index.find("A.Example:8080", "/x/1"), nullptr);
        EXPECT_EQ(index.find("c.example", "/x/1"), nullptr);
    }

    TEST(ASplitRoute, DistributesDrawsByWeight)
    {
        auto split = route("a.example", "/", "one");
        split.services = { { "one", 90 }, { "two", 10 }, { "none", 0 } };
        std::map<std::string, int> counts;
        for (std::uint64_t draw = 0; draw < 1000; ++draw)
            ++counts[split.pickService(draw)];
        EXPECT_EQ(counts["one"], 900);
        EXPECT_EQ(counts["two"], 100);
        EXPECT_FALSE(split.usesService("none"));
    }

    TEST(AllowedRegionsOfARequest, AreThoseThatItsRouteAndItsOrganisationBothAllow)
    {
        auto bound = route("a.example", "/", "one");
        EXPECT_TRUE(AllowedRegions(bound, nullptr).allows("varna"));
        EXPECT_FALSE(AllowedRegions(bound, nullptr).bound());
        bound.homeRegions = { "sofia", "plovdiv" };
        EXPECT_TRUE(AllowedRegions(bound, nullptr).allows("sofia"));
        EXPECT_FALSE(AllowedRegions(bound, nullptr).allows("varna"));
        OrganisationSpec organisation;
        EXPECT_EQ(AllowedRegions(bound, &organisation).names(), bound.homeRegions);
        organisation.residency = { "varna", "plovdiv" };
        EXPECT_EQ(AllowedRegions(bound, &organisation).names(), std::vector<RegionName> { "plovdiv" });
        EXPECT_FALSE(AllowedRegions(bound, &organisation).allows("sofia"));
        EXPECT_FALSE(AllowedRegions(bound, &organisation).allows("varna"));
        EXPECT_TRUE(AllowedRegions(Route {}, &organisation).allows("varna"));
        EXPECT_FALSE(AllowedRegions(Route {}, &organisation).allows("sofia"));
    }

    // Homes that have no region in common must not fall back to all regions.
    TEST(AllowedRegionsOfARequest, AreNoneIfRouteAndOrganisationShareNone)
    {
        auto bound = route("a.example", "/", "one");
        bound.homeRegions = { "sofia" };
        OrganisationSpec organisation;
        organisation.residency = { "varna" };
        const AllowedRegions allowed(bound, &organisation);
        EXPECT_TRUE(allowed.bound());
        EXPECT_TRUE(allowed.names().empty());
        EXPECT_FALSE(allowed.allows("sofia"));
        EXPECT_FALSE(allowed.allows("varna"));
    }

    TEST(ARoute, IsRetryableIfItIsIdempotentOrAResumableStream)
    {
        Route it;
        it.kind = RouteKind::NonIdempotent;
        it.resumable = true;
        EXPECT_FALSE(it.retryable());
        it.kind = RouteKind::Streaming;
        EXPECT_TRUE(it.retryable());
        it.resumable = false;
        EXPECT_FALSE(it.retryable());
        it.kind = RouteKind::Idempotent;
        EXPECT_TRUE(it.retryable());
    }

} // namespace
} // namespace yuccashift
