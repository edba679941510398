#pragma once

#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace yuccashift {

class RandomSource;

/** Identifies a key in tables. It is the MAC of the key, which depends on every other field. */
struct KeyId {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const KeyId&) const = default;
};

/** An idempotency key issued by an instance. Only the incarnation that minted it may run a request with it. */
struct MintedKey {
    InstanceId instance;
    Incarnation incarnation = 0;
    /** Time since the start of the minting incarnation, measured on its monotonic clock. */
    milliseconds mintedAt { 0 };
    std::uint64_t nonce = 0;
    /** MAC over the other fields and the organisation, computed with the shared secret of the instances. */
    Mac mac {};

    KeyId id() const;
    bool operator==(const MintedKey&) const = default;
};

/** Formats the key as `ys1.<instance>.<incarnation>.<ms>.<nonce>.<mac>`. */
std::string toString(const MintedKey&);

/**
 * Parses and verifies a key that a caller of the organisation sent. Returns
 * - KeyRequired if the text does not have the prefix of a minted key,
 * - MalformedRequest if the key is too long or not in its canonical form,
 * - KeyConflict if the key was minted for another organisation or with another
 *   secret, or is forged.
 */
Result<MintedKey> parseMintedKey(std::string_view text, std::string_view organisation, std::string_view secret);

/** Returns a new incarnation number. It grows with the wall clock; random low bits distinguish two starts within the same millisecond. */
Incarnation makeIncarnation(WallTime, RandomSource&);

/** Mints the keys of one incarnation. */
class KeyMinter {
public:
    KeyMinter(InstanceId, Incarnation, Instant startedAt, std::string secret);

    MintedKey mint(std::string_view organisation, Instant now, RandomSource&) const;

private:
    InstanceId m_instance;
    Incarnation m_incarnation;
    Instant m_startedAt;
    std::string m_secret;
};

} // namespace yuccashift

template <>
struct std::hash<yuccashift::KeyId> {
    // The bits of a MAC are uniformly distributed, so half of it serves as a hash.
    std::size_t operator()(const yuccashift::KeyId& id) const noexcept { return id.low; }
};
