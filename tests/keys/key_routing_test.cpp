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
            const char* what;
            InstanceId instance;
            Incarnation incarnation;
            Duration age;
            MinterBelief minter;
            bool forwarded;
            KeyAction action;
            std::optional<ErrorKind> kind;
        };
        constexpr auto unknown = std::nullopt;
        const Case cases[] = {
            { "its own key", "here", 50, seconds(1), {}, false, KeyAction::RunHere, {} },
            { "its own key, forwarded to it", "here", 50, seconds(1), {}, true, KeyAction::RunHere, {} },
            { "its own key, as long as it lives", "here", 50, lifetime - milliseconds(1), {}, false, KeyAction::RunHere, {} },
            { "its own key from then on", "here", 50, lifetime, {}, false, KeyAction::Refuse, ErrorKind::KeyExpired },
            { "a key of its earlier start", "here", 49, seconds(1), {}, false, KeyAction::Refuse, ErrorKind::KeyExpired },
            { "a key of its later start, it having slept", "here", 51, seconds(1), {}, false, KeyAction::Refuse, ErrorKind::KeyOwnerUnreachable },
            { "another's key", "there", 7, seconds(1), { 7, true, true }, false, KeyAction::Forward, {} },
            { "another's key, its incarnation not yet known", "there", 7, seconds(1), { unknown, true, true }, false, KeyAction::Forward, {} },
            { "another's key, an earlier incarnation known", "there", 7, seconds(1), { 6, true, true }, false, KeyAction::Forward, {} },
            { "another's key, a later incarnation known", "there", 7, seconds(1), { 8, true, true }, false, KeyAction::Refuse, ErrorKind::KeyExpired },
            { "another's key, behind a partition", "there", 7, seconds(1), { 7, false, true }, false, KeyAction::Refuse, ErrorKind::KeyOwnerUnreachable },
            { "another's key, nobody known yet", "there", 7, seconds(1), {}, false, KeyAction::Refuse, ErrorKind::KeyOwnerUnreachable },
            { "another's key, forwarded once already", "there", 7, seconds(1), { 7, true, true }, true, KeyAction::Refuse, ErrorKind::KeyOwnerUnreachable },
            { "another's key in a region not allowed", "there", 7, seconds(1), { 7, true, false }, false, KeyAction::Refuse, ErrorKind::ResidencyViolation },
        };
        for (const auto& it : cases) {
            const MintedKey key { it.instance, it.incarnation, milliseconds(0), 1, {} };
            const auto route = routeKey(key, self, it.minter, it.forwarded, start + it.age);
            EXPECT_EQ(route.action, it.action) << it.what;
            EXPECT_EQ(route.instance, it.action == KeyAction::Forward ? it.instance : "") << it.what;
            ASSERT_EQ(route.error.has_value(), it.kind.has_value()) << it.what;
            if (!it.kind)
                continue;
            EXPECT_EQ(route.error->kind, *it.kind) << it.what;
            EXPECT_EQ(route.error->effectiveRunState(), RunState::OutcomeUnknown) << it.what;
        }
    }

} // namespace
} // namespace yuccashift
