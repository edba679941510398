#include "yuccashift/document/diff.hpp"

#include <functional>
#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    Document sampleDocument()
    {
        Document document;
        document.service = "pass-ledger";
        document.models = { { "pass", "v1", { "city" } } };
        document.backends = { { "ledger-1", "sofia", "sofia-hall", { "127.0.0.1", 9001 }, FenceMode::Checked, BackendRole::Both, 4, {} } };
        document.routes = { { "redeem", "POST", "/redeem", false, Priority::Urgent, milliseconds(2000) } };
        document.organisations.resize(1);
        document.organisations[0].name = "museum";
        return document;
    }

    struct ChangeCase {
        const char* path;
        const char* before;
        const char* after;
        std::function<void(Document&)> change;
    };

    TEST(DocumentDifferences, OfEqualDocumentsAreEmpty)
    {
        EXPECT_TRUE(differences(sampleDocument(), sampleDocument()).empty());
    }

    TEST(DocumentDifferences, NameTheOneFieldThatChanged)
    {
        const std::vector<ChangeCase> cases {
            { "owner", "", "me", [](Document& it) { it.owner = "me"; } },
            { "revision", "0", "7", [](Document& it) { it.revision = 7; } },
            { "deleted", "false", "true", [](Document& it) { it.deleted = true; } },
            { "kind", "plain", "model", [](Document& it) { it.kind = ServiceKind::Model; } },
            { "regions", "[]", "[sofia, varna]", [](Document& it) { it.regions = { "sofia", "varna" }; } },
            { "models[pass].version", "v1", "v2", [](Document& it) { it.models[0].version = "v2"; } },
            { "backends[ledger-1].slots", "4", "5", [](Document& it) { it.backends[0].slots = 5; } },
            { "backends[ledger-1].address", "127.0.0.1:9001", "127.0.0.1:9002", [](Document& it) { it.backends[0].address.port = 9002; } },
            { "routes[redeem].deadline_ms", "2000", "50", [](Document& it) { it.routes[0].deadline = milliseconds(50); } },
            { "routes[redeem].idempotent", "false", "true", [](Document& it) { it.routes[0].idempotent = true; } },
            { "organisations[museum].limits.concurrency", "0", "3", [](Document& it) { it.organisations[0].limits.concurrency = 3; } },
            { "spill.mode", "when-loaded", "never", [](Document& it) { it.spill.mode = SpillMode::Never; } },
            { "prefix_cache.block_tokens", "16", "32", [](Document& it) { it.prefixCache.blockTokens = 32; } },
        };
        for (const auto& item : cases) {
            SCOPED_TRACE(item.path);
            auto changed = sampleDocument();
            item.change(changed);
            EXPECT_EQ(differences(sampleDocument(), changed), (std::vector<Difference> { { item.path, item.before, item.after } }));
        }
    }

    TEST(DocumentDifferences, OfARemovedItemHaveNoValueAfter)
    {
        auto changed = sampleDocument();
        changed.routes.clear();
        const auto removed = differences(sampleDocument(), changed);
        ASSERT_EQ(removed.size(), 5u);
        for (const auto& item : removed) {
            EXPECT_TRUE(item.path.starts_with("routes[redeem].")) << item.path;
            EXPECT_EQ(item.after, "");
        }
    }

} // namespace
} // namespace yuccashift
