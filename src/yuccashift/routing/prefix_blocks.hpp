#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace yuccashift {

/** Bytes of a prompt that make one token. */
inline constexpr std::uint32_t bytesPerToken = 4;

/** Tokens of a prompt, the last partial one included. */
std::uint32_t countTokens(std::string_view prompt);

/**
 * Chained hashes of the prompt's whole blocks, first block first, as engines
 * name them in cache events. At most 512; none where blockTokens is 0.
 */
std::vector<std::uint64_t> prefixBlocks(std::string_view prompt, std::uint32_t blockTokens);

} // namespace yuccashift
