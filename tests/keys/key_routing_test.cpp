#include "yuccashift/keys/key_routing.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    constexpr Instant start { seconds(100) };
    constexpr Duration lifetime = seconds(900);

    const KeyOwner self { "here", 50, start, lifetime };

    TEST(KeyRouting, LetsOnlyTheMintingIncarnationRunAKey)
    {
        struct Case {
            const char* description;
            InstanceId instance;
            Incarnation incarnation;
            Duration age;
            MinterState minter;
            bool forwarded;
            KeyAction action;
            std::optional<ErrorKind> kind;
        };
        constexpr auto unknown = std::nullopt;
        const Case cases[] = {
            { "its own key", "here", 50, seconds(1), {}, false, KeyAction::RunHere, {} },
            { "its own key, forwarded to it", "here", 50, seconds(1), {}, true, KeyAction::RunHere, {} },
            { "its own key, just before the end of its lifetime", "here", 50, lifetime - milliseconds(1), {}, false, KeyAction::RunHere, {} },
            { "its own key, at the end of its lifetime", "here", 50, lifetime, {}, false, KeyAction::Refuse, ErrorKind::KeyExpired },
            { "a key of an earlier incarnation", "here", 49, seconds(1), {}, false, KeyAction::Refuse, ErrorKind::KeyExpired },
            { "a key of a later incarnation, after this process was suspended", "here", 51, seconds(1), {}, false, KeyAction::Refuse, ErrorKind::KeyOwnerUnreachable },
            { "another instance's key", "there", 7, seconds(1), { 7, true, true }, false, KeyAction::Forward, {} },
            { "another instance's key, incarnation not yet known", "there", 7, seconds(1), { unknown, true, true }, false, KeyAction::Forward, {} },
            { "another instance's key, earlier incarnation known", "there", 7, seconds(1), { 6, true, true }, false, KeyAction::Forward, {} },
            { "another instance's key, later incarnation known", "there", 7, seconds(1), { 8, true, true }, false, KeyAction::Refuse, ErrorKind::KeyExpired },
            { "another instance's key, minter unreachable", "there", 7, seconds(1), { 7, false, true }, false, KeyAction::Refuse, ErrorKind::KeyOwnerUnreachable },
            { "another instance's key, minter not yet known", "there", 7, seconds(1), {}, false, KeyAction::Refuse, ErrorKind::KeyOwnerUnreachable },
            { "another instance's key, already forwarded once", "there", 7, seconds(1), { 7, true, true }, true, KeyAction::Refuse, ErrorKind::KeyOwnerUnreachable },
            { "another instance's key, region not allowed", "there", 7, seconds(1), { 7, true, false }, false, KeyAction::Refuse, ErrorKind::ResidencyViolation },
        };
        for (const auto& it : cases) {
            const MintedKey key { it.instance, it.incarnation, milliseconds(0), 1, {} };
            const auto route = routeKey(key, self, it.minter, it.forwarded, start + it.age);
            EXPECT_EQ(route.action, it.action) << it.description;
            EXPECT_EQ(route.instance, it.action == KeyAction::Forward ? it.instance : "") << it.description;
            ASSERT_EQ(route.error.has_value(), it.kind.has_value()) << it.description;
            if (!it.kind)
                continue;
            EXPECT_EQ(route.error->kind, *it.kind) << it.description;
            EXPECT_EQ(route.error->effectiveRunState(), RunState::OutcomeUnknown) << it.description;
        }
    }

} // namespace
} // namespace yuccashift
