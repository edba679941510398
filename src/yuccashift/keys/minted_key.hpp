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

/** Identity of a key in tables: its MAC, which binds every other field. */
struct KeyId {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const KeyId&) const = default;
};

/** An idempotency key that an instance handed out; only its minting incarnation may run it. */
struct MintedKey {
    InstanceId instance;
    Incarnation incarnation = 0;
    /** Since the start of the minting incarnation, on its monotonic clock. */
    milliseconds mintedAt { 0 };
    std::uint64_t nonce = 0;
    /** Binds the fields and the organisation to the instances' shared secret. */
    Mac mac {};

    KeyId id() const;
    bool operator==(const MintedKey&) const = default;
};

/** `ys1.<instance>.<incarnation>.<ms>.<nonce>.<mac>` */
std::string toString(const MintedKey&);

/**
 * The key in a text that an organisation sent.
 * KeyRequired where the text is no minted key, MalformedRequest where it is a
 * damaged one, KeyConflict where it was minted for someone else or under
 * another secret.
 */
Result<MintedKey> parseMintedKey(std::string_view text, std::string_view organisation, std::string_view secret);

/** A number for a new incarnation; grows with the wall clock, and differs between two starts at one moment. */
Incarnation makeIncarnation(WallTime, RandomSource&);

/** Hands out keys of one incarnation. */
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
    // A MAC is uniform, so any part of it is a hash.
    std::size_t operator()(const yuccashift::KeyId& id) const noexcept { return id.low; }
};
