#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace yuccashift {

/** First 64 bits of SHA-256; identical on all instances. */
std::uint64_t hash64(std::string_view bytes);

/** First 64 bits of SHA-256 over the length-prefixed parts; the prefix distinguishes `ab`, `c` from `a`, `bc`. */
std::uint64_t hash64(std::span<const std::string_view> parts);

/** SHA-256 in lower-case hex, the form in which documents store credentials. */
std::string sha256Hex(std::string_view bytes);

/** HMAC-SHA256 truncated to its first 128 bits. */
using Mac = std::array<std::uint8_t, 16>;

Mac hmac128(std::string_view secret, std::string_view bytes);

/** Compares in constant time, so that the duration does not reveal where the two differ. */
bool equalMacs(const Mac&, const Mac&);

/** Mixes the bits of an integer (the SplitMix64 step); for weights and hash tables, not cryptographic. */
constexpr std::uint64_t mix64(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

} // namespace yuccashift
