#include "yuccashift/entry/forwarding.hpp"

#include "platform/platform_codec.hpp"

#include <gtest/gtest.h>

namespace yuccashift::platform {
namespace {

    TEST(AForwardedRequest, KeepsItsBodyAndTheCallersHeadersButNoneOfTheConnection)
    {
        const PlatformCodec codec;
        RequestMessage request { "POST", "/draft/x?y=1", { { "Host", "a.example" }, { "Connection", "close, X-Trace" }, { "X-Trace", "1" }, { "X-Other", "2" } }, "body" };
        const auto bytes = forwardedRequest(request, codec, CallerIdentity::Forwarded, "X-Extra: 3\r\n");
        EXPECT_TRUE(bytes.starts_with("POST /draft/x?y=1 HTTP/1.1\r\n"));
        EXPECT_TRUE(bytes.ends_with("Content-Length: 4\r\n\r\nbody"));
        EXPECT_NE(bytes.find("X-Other: 2\r\n"), std::string::npos);
        EXPECT_NE(bytes.find("X-Extra: 3\r\n"), std::string::npos);
        EXPECT_EQ(bytes.find("X-Trace"), std::string::npos);
        EXPECT_EQ(bytes.find("Connection"), std::string::npos);
    }

    // A field whose name was a part of a listed one was dropped, and comparing names with the whole list took seconds.
    TEST(AForwardedRequest, DropsTheFieldsThatItsConnectionListsAndNoOthers)
    {
        const PlatformCodec codec;
        const RequestMessage request { "GET", "/x", { { "Host", "a.example" }, { "Connection", "close, X-Trace-Id ,host" }, { "connection", "\tx-second" }, { "X-Trace", "1" }, { "x-trace-ID", "2" }, { "X-Second", "3" }, { "X", "4" } }, {} };
        const auto bytes = forwardedRequest(request, codec, CallerIdentity::Forwarded, {});
        EXPECT_NE(bytes.find("X-Trace: 1\r\n"), std::string::npos);
        EXPECT_NE(bytes.find("X: 4\r\n"), std::string::npos);
        EXPECT_NE(bytes.find("Host: a.example\r\n"), std::string::npos);
        EXPECT_EQ(bytes.find("x-trace-ID"), std::string::npos);
        EXPECT_EQ(bytes.find("X-Second"), std::string::npos);
    }

    // Only an instance may name a server, a deadline or a service to another instance.
    TEST(AForwardedRequest, LacksTheCallersHeadersThatLookLikeThoseOfAHop)
    {
        const PlatformCodec codec;
        const RequestMessage request { "GET", "/x", { { "Host", "a.example" }, { "yuccashift-server", "7" }, { "Yuccashift-Deadline", "99999" } }, {} };
        const auto bytes = forwardedRequest(request, codec, CallerIdentity::Forwarded, "Yuccashift-Deadline: 100\r\n");
        EXPECT_EQ(bytes.find("yuccashift-server"), std::string::npos);
        EXPECT_EQ(bytes.find("99999"), std::string::npos);
        EXPECT_NE(bytes.find("Yuccashift-Deadline: 100\r\n"), std::string::npos);
    }

    // A server must not see a key, and takes the organisation only from this system.
    TEST(AForwardedRequest, NamesItsCallerOnlyIfTheConfigurationDoesNotIdentifyCallers)
    {
        const PlatformCodec codec;
        const RequestMessage request { "GET", "/x", { { "Host", "a.example" }, { "authorization", "Bearer k" }, { "x-tenant", "other" } }, {} };
        std::string headers;
        ServerRequestMetadata metadata;
        metadata.organisation = "clinic";
        codec.appendServerMetadata(headers, metadata);
        const auto withheld = forwardedRequest(request, codec, CallerIdentity::Withheld, headers);
        EXPECT_EQ(withheld.find("Bearer"), std::string::npos);
        EXPECT_EQ(withheld.find("other"), std::string::npos);
        EXPECT_NE(withheld.find("X-Tenant: clinic\r\n"), std::string::npos);
        const auto forwarded = forwardedRequest(request, codec, CallerIdentity::Forwarded, {});
        EXPECT_NE(forwarded.find("authorization: Bearer k\r\n"), std::string::npos);
        EXPECT_NE(forwarded.find("x-tenant: other\r\n"), std::string::npos);
    }

    TEST(AForwardedHead, KeepsTheStatusAndDropsHeadersOfTheConnection)
    {
        const auto head = forwardedHead({ 503, { { "Keep-Alive", "timeout=3" }, { "X-Seal", "s" } }, {} });
        EXPECT_EQ(head.status, 503);
        ASSERT_EQ(head.headers.size(), 1u);
        EXPECT_EQ(head.headers.front().name, "X-Seal");
    }

} // namespace
} // namespace yuccashift::platform
