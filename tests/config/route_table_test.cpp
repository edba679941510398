#include "yuccashift/config/route_table.hpp"

#include "yuccashift/kernel/hash.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    constexpr const char* model = R"(service: yucca-draft
owner: kolanut
revision: 1
kind: model
regions: [lagos]
models:
  - {name: draft-7b, version: "1", adapters: [cars]}
routes:
  - {name: chat, path: /v1/chat/completions}
organisations:
  - {name: payroll, credential_sha256: ["CREDENTIAL"]}
)";

    constexpr const char* pass = R"(service: pass
owner: association
revision: 1
kind: plain
path_prefix: /pass
regions: [sofia]
routes:
  - {name: check, method: GET, path: "/check/*"}
  - {name: redeem, method: POST, path: /redeem, idempotent: false}
  - {name: root, method: GET, path: /}
)";

    constexpr const char* ledger = R"(service: pass-ledger
owner: association
revision: 1
kind: plain
path_prefix: /pass/ledger
regions: [sofia]
routes:
  - {name: all, method: "*", path: "/*"}
)";

    class RoutedRequests : public ::testing::Test {
    protected:
        RoutedRequests()
        {
            std::string text = model;
            text.replace(text.find("CREDENTIAL"), 10, sha256Hex("payroll-token"));
            for (const auto& it : { text, std::string(pass), std::string(ledger), std::string("service: old\nowner: o\nrevision: 4\ndeleted: true\n") })
                EXPECT_TRUE(m_store.accept(it));
        }

        DocumentStore m_store;
    };

    TEST_F(RoutedRequests, AreResolvedByModelOrByTheLongestPathPrefix)
    {
        struct Case {
            const char* method;
            const char* path;
            const char* model;
            const char* service;
            const char* route;
        };
        const Case cases[] = {
            { "POST", "/v1/chat/completions", "draft-7b", "yucca-draft", "chat" },
            { "POST", "/v1/chat/completions", "draft-7b:cars", "yucca-draft", "chat" },
            { "GET", "/pass/check/12", "", "pass", "check" },
            { "POST", "/pass/redeem", "", "pass", "redeem" },
            { "GET", "/pass", "", "pass", "root" },
            { "PUT", "/pass/ledger/entries", "", "pass-ledger", "all" },
        };
        const RouteTable table(m_store.snapshot());
        for (const auto& it : cases) {
            const auto resolved = table.resolve({ it.method, it.path, it.model });
            ASSERT_TRUE(resolved) << it.path;
            EXPECT_EQ(resolved->document->service, it.service) << it.path;
            EXPECT_EQ(resolved->route->name, it.route) << it.path;
            EXPECT_EQ(resolved->model != nullptr, *it.model != 0) << it.path;
        }
        EXPECT_EQ(table.resolve({ "POST", chatCompletionsPath, "draft-7b:cars" })->adapter, "cars");
    }

    TEST_F(RoutedRequests, AreRefusedIfNothingMatches)
    {
        struct Case {
            const char* method;
            const char* path;
            const char* model;
            ErrorKind kind;
        };
        const Case cases[] = {
            { "POST", "/v1/chat/completions", "", ErrorKind::UnknownModel },
            { "POST", "/v1/chat/completions", "other", ErrorKind::UnknownModel },
            { "POST", "/v1/chat/completions", "draft-7b:boats", ErrorKind::UnknownModel },
            { "GET", "/v1/chat/completions", "draft-7b", ErrorKind::UnknownRoute },
            { "POST", "/passport", "", ErrorKind::UnknownService },
            { "GET", "/", "", ErrorKind::UnknownService },
            { "DELETE", "/pass/redeem", "", ErrorKind::UnknownRoute },
            { "POST", "/pass/redeem/again", "", ErrorKind::UnknownRoute },
        };
        const RouteTable table(m_store.snapshot());
        for (const auto& it : cases) {
            const auto resolved = table.resolve({ it.method, it.path, it.model });
            ASSERT_FALSE(resolved) << it.path;
            EXPECT_EQ(resolved.error().kind, it.kind) << it.path << ' ' << it.model;
            EXPECT_EQ(resolved.error().effectiveRunState(), RunState::NotRun);
        }
    }

    TEST_F(RoutedRequests, KeepTheirDocumentAliveWhenItIsReplaced)
    {
        std::optional<ResolvedRoute> resolved;
        {
            const RouteTable table(m_store.snapshot());
            resolved = *table.resolve({ "POST", "/pass/redeem", "" });
        }
        EXPECT_TRUE(m_store.accept("service: pass\nowner: o\nrevision: 2\ndeleted: true\n"));
        EXPECT_FALSE(resolved->route->idempotent);
        EXPECT_FALSE(RouteTable(m_store.snapshot()).resolve({ "POST", "/pass/redeem", "" }));
    }

    TEST_F(RoutedRequests, AreAssignedToAnOrganisationByTheirCredential)
    {
        const auto document = m_store.find("yucca-draft");
        const OrganisationIndex organisations(document->organisations);
        const auto organisation = findOrganisationByCredential(organisations, "payroll-token");
        ASSERT_TRUE(organisation);
        EXPECT_EQ((*organisation)->name, "payroll");
        for (const auto* credential : { "", "other", "payroll-token ", "Payroll-token" }) {
            const auto refused = findOrganisationByCredential(organisations, credential);
            ASSERT_FALSE(refused) << credential;
            EXPECT_EQ(refused.error().kind, ErrorKind::Unauthenticated);
        }
    }

} // namespace
} // namespace yuccashift
