#include "yuccashift/keys/minted_key.hpp"

#include "yuccashift/kernel/random.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    constexpr Instant start { seconds(100) };

    class MintedKeys : public ::testing::Test {
    protected:
        static std::string textOf(const MintedKey& key) { return toString(key); }

        ErrorKind errorOf(const std::string& text, const std::string& organisation = "museum", const std::string& secret = "shared secret") const
        {
            const auto parsed = parseMintedKey(text, organisation, secret);
            return parsed ? ErrorKind::Internal : parsed.error().kind;
        }

        SeededRandom m_random { 5 };
        KeyMinter m_minter { "sofia-hall.1", 77, start, "shared secret" };
        MintedKey m_key = m_minter.mint("museum", start + milliseconds(1500), m_random);
    };

    TEST_F(MintedKeys, ContainTheirMinterAndTheTimeSinceItsStart)
    {
        const auto parsed = parseMintedKey(textOf(m_key), "museum", "shared secret");
        ASSERT_TRUE(parsed);
        EXPECT_EQ(*parsed, m_key);
        EXPECT_EQ(parsed->instance, "sofia-hall.1");
        EXPECT_EQ(parsed->incarnation, 77u);
        EXPECT_EQ(parsed->mintedAt, milliseconds(1500));
    }

    TEST_F(MintedKeys, AreUnique)
    {
        EXPECT_NE(m_minter.mint("museum", start + milliseconds(1500), m_random).id(), m_key.id());
    }

    TEST_F(MintedKeys, AreRefusedWhenAnyCharacterIsChanged)
    {
        const auto text = textOf(m_key);
        for (std::size_t n = 0; n < text.size(); ++n) {
            auto changed = text;
            changed[n] = changed[n] == '1' ? '2' : '1';
            EXPECT_FALSE(parseMintedKey(changed, "museum", "shared secret")) << changed;
        }
    }

    TEST_F(MintedKeys, AreRefusedWithAnUnknownOutcomeForAnotherOrganisationOrSecret)
    {
        for (const auto& [organisation, secret] : { std::pair { "transport", "shared secret" }, std::pair { "museum", "another secret" } }) {
            const auto parsed = parseMintedKey(textOf(m_key), organisation, secret);
            ASSERT_FALSE(parsed);
            EXPECT_EQ(parsed.error().kind, ErrorKind::KeyConflict);
            EXPECT_EQ(parsed.error().effectiveRunState(), RunState::OutcomeUnknown);
        }
    }

    TEST_F(MintedKeys, AreAcceptedOnlyInTheirCanonicalForm)
    {
        const auto text = textOf(m_key);
        struct Case {
            const char* description;
            std::string text;
            ErrorKind kind;
        };
        const Case cases[] = {
            { "a caller's own key", "order-4711", ErrorKind::KeyRequired },
            { "an empty text", "", ErrorKind::KeyRequired },
            { "the prefix alone", "ys1.", ErrorKind::MalformedRequest },
            { "a missing field", "ys1.a.1.2.3", ErrorKind::MalformedRequest },
            { "a truncated key", text.substr(0, text.size() - 1), ErrorKind::MalformedRequest },
            { "a key with a trailing character", text + "0", ErrorKind::MalformedRequest },
            { "a trailing space", text + " ", ErrorKind::MalformedRequest },
            { "a leading zero", "ys1.sofia-hall.1.077" + text.substr(text.find(".77") + 3), ErrorKind::MalformedRequest },
            { "a negative number", "ys1.sofia-hall.1.77.-5.1." + std::string(32, 'a'), ErrorKind::MalformedRequest },
            { "a field that is not a number", "ys1.sofia-hall.1.77.x.1." + std::string(32, 'a'), ErrorKind::MalformedRequest },
            { "a number over 64 bits", "ys1.a.99999999999999999999.5.1." + std::string(32, 'a'), ErrorKind::MalformedRequest },
            { "no instance", "ys1..77.5.1." + std::string(32, 'a'), ErrorKind::MalformedRequest },
            { "a MAC that is not hex", "ys1.a.77.5.1." + std::string(32, 'g'), ErrorKind::MalformedRequest },
            { "a MAC in upper case", "ys1.a.77.5.1." + std::string(32, 'A'), ErrorKind::MalformedRequest },
            { "a forged MAC", "ys1.a.77.5.1." + std::string(32, 'a'), ErrorKind::KeyConflict },
            { "an oversized text", "ys1." + std::string(100000, 'a'), ErrorKind::MalformedRequest },
        };
        for (const auto& it : cases)
            EXPECT_EQ(errorOf(it.text), it.kind) << it.description;
    }

    TEST(Incarnations, GrowWithTheClockAndDifferWithinAMillisecond)
    {
        SeededRandom random(1);
        const WallTime now { seconds(1'800'000'000) };
        const auto first = makeIncarnation(now, random);
        EXPECT_NE(first, makeIncarnation(now, random));
        EXPECT_LT(first, makeIncarnation(now + milliseconds(1), random));
        // It is sent as a signed integer.
        EXPECT_GT(static_cast<std::int64_t>(first), 0);
    }

} // namespace
} // namespace yuccashift
