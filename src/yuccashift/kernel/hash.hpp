#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace yuccashift {

/** First 64 bits of SHA-256; the same on every instance. */
std::uint64_t hash64(std::string_view bytes);

/** First 64 bits of SHA-256 over the parts, each with its length, so that parts cannot run together. */
std::uint64_t hash64(std::span<const std::string_view> parts);

/** SHA-256 in lower-case hex, as documents list credentials. */
std::string sha256Hex(std::string_view bytes);

/** First 128 bits of HMAC-SHA256. */
using Mac = std::array<std::uint8_t, 16>;

Mac hmac128(std::string_view secret, std::string_view bytes);

/** Compares in a time that does not depend on where the two differ. */
bool equalMacs(const Mac&, const Mac&);

/** Spreads the bits of a number over all 64; for weights and tables, not for secrets. */
constexpr std::uint64_t mix64(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

} // namespace yuccashift
