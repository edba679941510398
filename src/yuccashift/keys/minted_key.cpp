#include "yuccashift/keys/minted_key.hpp"

#include "yuccashift/kernel/random.hpp"

#include <boost/algorithm/hex.hpp>
#include <boost/endian/conversion.hpp>
#include <charconv>
#include <optional>

namespace yuccashift {

namespace {

    constexpr std::string_view keyPrefix = "ys1.";
    constexpr std::size_t maxKeyBytes = 256;
    constexpr int incarnationRandomBits = 20;

    // The formatted key without its MAC; the MAC is computed over this text.
    std::string authenticatedText(const MintedKey& key)
    {
        std::string text(keyPrefix);
        text += key.instance;
        text += '.' + std::to_string(key.incarnation);
        text += '.' + std::to_string(key.mintedAt.count());
        text += '.' + std::to_string(key.nonce);
        return text;
    }

    Mac computeMac(const MintedKey& key, std::string_view organisation, std::string_view secret)
    {
        auto text = authenticatedText(key);
        text += '\n';
        text += organisation;
        return hmac128(secret, text);
    }

    // Removes the last field from the text and returns it. Fields are parsed from the end, because only the instance name may contain dots.
    std::string_view removeLastField(std::string_view& text)
    {
        const auto dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return {};
        const auto field = text.substr(dot + 1);
        text.remove_suffix(field.size() + 1);
        return field;
    }

    template <typename Number>
    std::optional<Number> parseNumber(std::string_view text)
    {
        Number value = 0;
        const auto* end = text.data() + text.size();
        const auto [it, ec] = std::from_chars(text.data(), end, value);
        if (ec != std::errc {} || it != end || text.empty())
            return std::nullopt;
        return value;
    }

    std::optional<Mac> parseMac(std::string_view text)
    {
        Mac mac {};
        if (text.size() != 2 * mac.size())
            return std::nullopt;
        try {
            boost::algorithm::unhex(text.begin(), text.end(), mac.begin());
        } catch (const boost::algorithm::hex_decode_error&) {
            return std::nullopt;
        }
        return mac;
    }

    std::optional<MintedKey> parseFields(std::string_view text)
    {
        text.remove_prefix(keyPrefix.size());
        const auto mac = parseMac(removeLastField(text));
        const auto nonce = parseNumber<std::uint64_t>(removeLastField(text));
        const auto mintedAt = parseNumber<std::int64_t>(removeLastField(text));
        const auto incarnation = parseNumber<Incarnation>(removeLastField(text));
        if (!mac || !nonce || !mintedAt || *mintedAt < 0 || !incarnation || text.empty())
            return std::nullopt;
        return MintedKey { InstanceId(text), *incarnation, milliseconds(*mintedAt), *nonce, *mac };
    }

} // namespace

KeyId MintedKey::id() const
{
    constexpr std::size_t half = sizeof(std::uint64_t);
    return { boost::endian::load_big_u64(mac.data()), boost::endian::load_big_u64(mac.data() + half) };
}

std::string toString(const MintedKey& key)
{
    auto text = authenticatedText(key) + '.';
    boost::algorithm::hex_lower(key.mac.begin(), key.mac.end(), std::back_inserter(text));
    return text;
}

Result<MintedKey> parseMintedKey(std::string_view text, std::string_view organisation, std::string_view secret)
{
    if (!text.starts_with(keyPrefix))
        return fail(ErrorKind::KeyRequired, "the idempotency key was not handed out by an instance");
    if (text.size() > maxKeyBytes)
        return fail(ErrorKind::MalformedRequest, "an idempotency key over its bound");
    const auto key = parseFields(text);
    // Only the canonical form is accepted: another spelling of the same key would count as a second key.
    if (!key || toString(*key) != text)
        return fail(ErrorKind::MalformedRequest, "a damaged idempotency key");
    if (!equalMacs(computeMac(*key, organisation, secret), key->mac)) {
        // While the shared secret is being replaced, the key may be valid and its
        // request may have run, so the outcome is reported as unknown.
        Error error { ErrorKind::KeyConflict, "the idempotency key was handed out to someone else", RunState::OutcomeUnknown, {} };
        return tl::unexpected(std::move(error));
    }
    return *key;
}

Incarnation makeIncarnation(WallTime now, RandomSource& random)
{
    const auto time = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    return (static_cast<Incarnation>(time) << incarnationRandomBits) | random.uniformBelow(1U << incarnationRandomBits);
}

KeyMinter::KeyMinter(InstanceId instance, Incarnation incarnation, Instant startedAt, std::string secret)
    : m_instance(std::move(instance))
    , m_incarnation(incarnation)
    , m_startedAt(startedAt)
    , m_secret(std::move(secret))
{
}

MintedKey KeyMinter::mint(std::string_view organisation, Instant now, RandomSource& random) const
{
    MintedKey key { m_instance, m_incarnation, milliseconds(toMilliseconds(now - m_startedAt)), random.next(), {} };
    key.mac = computeMac(key, organisation, m_secret);
    return key;
}

} // namespace yuccashift
