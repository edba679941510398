#include "platform/node_settings.hpp"
#include "platform/platform_codec.hpp"

#include <gtest/gtest.h>

namespace yuccashift::platform {
namespace {

    struct ThePlatformCodec : testing::Test {
        PlatformCodec codec;
        RequestMessage request { "POST", "/a/b", { { "X-Attempt-Id", "9c41" }, { "x-deadline-ms", "1500" }, { "X-Token-Counts", "1460,80" }, { "X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250" } }, {} };
    };

    TEST_F(ThePlatformCodec, DecodesTheRequestMetadataOfACaller)
    {
        const auto metadata = codec.decodeRequest(request);
        EXPECT_EQ(metadata.attemptId, "9c41");
        EXPECT_EQ(metadata.deadline, milliseconds(1500));
        EXPECT_EQ(metadata.work.promptTokens, 1460u);
        EXPECT_EQ(metadata.work.outputTokens, 40u);
        ASSERT_EQ(metadata.work.parts.size(), 3u);
        EXPECT_EQ(metadata.work.parts[0].id, 0x5c1e07a2u);
        EXPECT_EQ(metadata.work.sharedParts().size(), 2u);
        EXPECT_FALSE(metadata.resumeAfter);
    }

    TEST_F(ThePlatformCodec, IgnoresMalformedNumbers)
    {
        request.headers = { { "X-Deadline-Ms", "soon" }, { "X-Token-Counts", "x,y" }, { "X-Prompt-Prefix", "zz:1" }, { "X-Length-Hint", "?" } };
        const auto metadata = codec.decodeRequest(request);
        EXPECT_FALSE(metadata.deadline);
        EXPECT_EQ(metadata.work.promptTokens, 0u);
        EXPECT_TRUE(metadata.work.parts.empty());
    }

    // The load of a server became negative, and a deadline lay before the request's arrival or beyond its route's time limit.
    TEST_F(ThePlatformCodec, BoundsNumbersWhoseSumsWouldOverflow)
    {
        request.headers = { { "X-Deadline-Ms", "9223372036854775807" }, { "X-Token-Counts", "4294967295,18446744073709551615" }, { "X-Prompt-Prefix", "1:4294967295,2:4294967295" }, { "X-Length-Hint", "4294967295" } };
        const auto metadata = codec.decodeRequest(request);
        EXPECT_EQ(metadata.deadline, std::chrono::hours(24));
        EXPECT_GT(static_cast<std::int32_t>(metadata.work.memoryTokens()), 0);
        EXPECT_GT(static_cast<std::int32_t>(metadata.work.sharedTokens()), 0);
        request.headers = { { "X-Deadline-Ms", "-9223372036854775808" } };
        EXPECT_EQ(codec.decodeRequest(request).deadline, milliseconds(0));
        EXPECT_EQ(codec.decodeHealth({ 200, { { "X-Cold-Ms", "9223372036854775807" } }, {} }).coldFor, std::chrono::hours(24));
    }

    TEST_F(ThePlatformCodec, ReservesTheHeadersThatOnlyTheGatewayMaySet)
    {
        for (const auto* name : { "X-Hold", "x-pin-ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Target-Instance", "X-Deadline-Ms", "X-Request-Urgency", "X-Expected-Version" })
            EXPECT_TRUE(codec.isReservedHeader(name)) << name;
        for (const auto* name : { "X-Model", "X-Token-Counts", "X-Prompt-Prefix", "X-Attempt-Id", "Host" })
            EXPECT_FALSE(codec.isReservedHeader(name)) << name;
    }

    TEST_F(ThePlatformCodec, EncodesTheMetadataOfARequestToAServer)
    {
        std::string out;
        codec.appendServerMetadata(out, { "i-1", milliseconds(900), 4, "12" });
        EXPECT_EQ(out, "X-Target-Instance: i-1\r\nX-Deadline-Ms: 900\r\nX-Request-Urgency: 4\r\nLast-Event-Id: 12\r\n");
    }

    TEST_F(ThePlatformCodec, TakesARequestAsNotRunOnlyIfTheServerReportsIt)
    {
        EXPECT_FALSE(codec.decodeAnswer({ 503, {}, {} }).notRun);
        EXPECT_FALSE(codec.decodeAnswer({ 500, {}, {} }).notRun);
        EXPECT_TRUE(codec.decodeAnswer({ 503, { { "X-Not-Executed", "1" } }, {} }).notRun);
        EXPECT_TRUE(codec.decodeAnswer({ 421, {}, {} }).notRun);
        EXPECT_TRUE(codec.decodeAnswer({ 421, {}, {} }).wrongServer);
    }

    TEST_F(ThePlatformCodec, DecodesTheRejectionsThatABrittleServerBears)
    {
        for (const auto status : { 200, 500, 503 })
            EXPECT_EQ(codec.decodeAnswer({ status, { { "Server-Brittle", "3" } }, {} }).statement.bearableRejections, 3.0);
        EXPECT_FALSE(codec.decodeAnswer({ 200, {}, {} }).statement.bearableRejections);
        for (const auto* text : { "", "-1", "many", "1e3" })
            EXPECT_FALSE(codec.decodeAnswer({ 200, { { "Server-Brittle", text } }, {} }).statement.bearableRejections) << text;
    }

    TEST_F(ThePlatformCodec, DecodesTheRateLimitOfAServer)
    {
        const auto limitIn = [&](const char* value) { return codec.decodeAnswer({ 200, { { "server-limit", value } }, {} }).statement.requestsPerSecond; };
        EXPECT_EQ(limitIn("1"), 1.0);
        EXPECT_EQ(limitIn("0.25"), 0.25);
        EXPECT_EQ(limitIn("0"), 0.0);
        for (const auto* value : { "", "-1", "much", "1 per second", "nan", "inf", "1e9999" })
            EXPECT_FALSE(limitIn(value)) << value;
        EXPECT_FALSE(codec.decodeAnswer({ 200, {}, {} }).statement.requestsPerSecond);
        EXPECT_EQ(codec.decodeHealth({ 200, { { "Server-Limit", "2" } }, {} }).statement.requestsPerSecond, 2.0);
    }

    TEST_F(ThePlatformCodec, DecodesTheDepartureOfAServer)
    {
        EXPECT_TRUE(codec.decodeAnswer({ 200, { { "server-leaving", "1" } }, {} }).statement.leaving);
        EXPECT_TRUE(codec.decodeHealth({ 503, { { "Server-Leaving", "1" } }, {} }).statement.leaving);
        EXPECT_FALSE(codec.decodeAnswer({ 200, { { "Server-Leaving", "0" } }, {} }).statement.leaving);
        EXPECT_FALSE(codec.decodeAnswer({ 200, {}, {} }).statement.leaving);
    }

    TEST_F(ThePlatformCodec, DecodesTheRestThatARefusingServerAsksFor)
    {
        const auto restIn = [&](int status, const char* value) { return codec.decodeAnswer({ status, { { "Retry-After", value } }, {} }).statement.restFor; };
        EXPECT_EQ(restIn(503, "3"), seconds(3));
        EXPECT_EQ(restIn(503, "0.25"), milliseconds(250));
        EXPECT_EQ(restIn(503, "86400"), seconds(60));
        for (const auto* value : { "", "-1", "soon", "Fri, 31 Dec 1999 23:59:59 GMT", "nan" })
            EXPECT_EQ(restIn(503, value), Duration::zero()) << value;
        EXPECT_EQ(restIn(200, "3"), Duration::zero());
    }

    TEST_F(ThePlatformCodec, DecodesTheHealthOfAServer)
    {
        const auto metadata = codec.decodeHealth({ 200, { { "X-Instance-Id", "i-1" }, { "X-Cold-Ms", "1200.5" } }, {} });
        EXPECT_TRUE(metadata.healthy);
        EXPECT_EQ(metadata.serverId, "i-1");
        EXPECT_EQ(metadata.coldFor, milliseconds(1200));
        EXPECT_FALSE(codec.decodeHealth({ 503, {}, {} }).healthy);
    }

    TEST_F(ThePlatformCodec, DecodesDirectoryQueriesAndEncodesTheirAnswers)
    {
        request = { "GET", "/yuccashift/resolve?name=a%2Eexample&region=lagos&zone=ikeja-hall", {}, {} };
        const auto question = codec.decodeDirectoryQuery(request);
        ASSERT_TRUE(question);
        EXPECT_EQ(question->host, "a.example");
        EXPECT_EQ(question->region, "lagos");
        request.target = "/other";
        EXPECT_FALSE(codec.decodeDirectoryQuery(request));
        EXPECT_EQ(codec.encodeDirectoryAnswer({ "10.0.0.1:80" }, milliseconds(1500)), R"({"addresses":["10.0.0.1:80"],"ttlS":1.5E0})");
    }

    constexpr const char* settingsText = R"(
node: "front-1"
ip: "10.1.0.35"
zone: "ikeja-hall"
region: "lagos"
zones: {ikeja-hall: "lagos", wuse-hall: "abuja"}
listen: {front: "10.1.0.35:8144", ready: "10.1.0.35:8140", control: "10.1.0.35:8146", directory: "10.1.0.35:8143"}
internalPorts: [7660, 7675]
seeds: ["10.1.0.35:8146", "10.2.0.28:8146"]
limits: {cpuShare: 0.25, cores: 1, fileDescriptors: 4100}
bounds: {graceS: 8, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 54, ttl_max_s: 5}
platform: {address: "10.200.1.7:8142"}
somethingNew: [1, 2]
)";

    TEST(TheSettingsFile, HoldsTheIdentityPeersAndLimitsOfAnInstance)
    {
        const auto settings = parseNodeSettings(settingsText);
        ASSERT_TRUE(settings) << settings.error().detail;
        EXPECT_EQ(settings->instance, "front-1");
        EXPECT_EQ(settings->regions.at("wuse-hall"), "abuja");
        EXPECT_EQ(settings->peerPort, 7660);
        EXPECT_EQ(settings->seedAddresses, (std::vector<std::string> { "10.1.0.35", "10.2.0.28" }));
        EXPECT_EQ(settings->storeEndpoint, (Endpoint { "10.200.1.7", 8142 }));
        EXPECT_DOUBLE_EQ(settings->retryBudgetLimits.slack, 54);
        EXPECT_EQ(settings->shutdownGrace, seconds(8));
        EXPECT_FALSE(settings->firstStart);
        EXPECT_TRUE(parseNodeSettings(std::string(settingsText) + "bootstrap: true\n")->firstStart);
    }

    TEST(TheSettingsFile, WithoutARequiredFieldIsRejectedWithTheFieldsName)
    {
        std::string text = settingsText;
        text.replace(text.find("region:"), 7, "regiom:");
        const auto settings = parseNodeSettings(text);
        ASSERT_FALSE(settings);
        EXPECT_NE(settings.error().detail.find("region"), std::string::npos);
    }

} // namespace
} // namespace yuccashift::platform
