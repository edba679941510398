#include "yuccashift/document/parser.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    constexpr const char* valid = R"(service: pass-ledger
owner: association-operations
revision: 3
kind: plain
path_prefix: /pass-ledger
regions: [sofia, plovdiv]
backends:
  - {name: ledger-1, region: sofia, datacentre: sofia-hall, address: "127.0.0.1:9001", slots: 4}
routes:
  - {name: redeem, path: /redeem, idempotent: false, priority: urgent, deadline_ms: 2000}
organisations:
  - name: museum
    credential_sha256: ["0000000000000000000000000000000000000000000000000000000000000001"]
    residency: [sofia]
    limits: {requests_per_second: 50}
)";

    TEST(DocumentParser, ReadsAValidDocument)
    {
        const auto document = parseDocument(valid);
        ASSERT_TRUE(document) << format(document.error(), "valid.yaml");
        EXPECT_EQ(document->service, "pass-ledger");
        EXPECT_EQ(document->revision, 3u);
        ASSERT_EQ(document->routes.size(), 1u);
        EXPECT_FALSE(document->routes[0].idempotent);
        EXPECT_EQ(document->routes[0].deadline, milliseconds(2000));
        EXPECT_EQ(document->organisations[0].limits.requestsPerSecond, 50);
        EXPECT_EQ(document->backends[0].address.port, 9001);
    }

    TEST(DocumentParser, ReportsAllFaultsAtOnceWithLineAndPath)
    {
        const auto document = parseDocument("service: a b\nowner: me\nrevision: 0\nkind: other\nregions: [x]\nroutes:\n  - {name: r, path: /r, idempotant: true}\n");
        ASSERT_FALSE(document);
        const auto text = format(document.error(), "bad.yaml");
        EXPECT_NE(text.find("bad.yaml:1: service:"), std::string::npos) << text;
        EXPECT_NE(text.find("bad.yaml:3: revision:"), std::string::npos) << text;
        EXPECT_NE(text.find("bad.yaml:4: kind:"), std::string::npos) << text;
        EXPECT_NE(text.find("routes[0].idempotant"), std::string::npos) << text;
    }

    TEST(DocumentParser, ReportsASyntaxErrorAsAFault)
    {
        const auto document = parseDocument("service: [\n");
        ASSERT_FALSE(document);
        EXPECT_EQ(document.error().size(), 1u);
    }

} // namespace
} // namespace yuccashift
