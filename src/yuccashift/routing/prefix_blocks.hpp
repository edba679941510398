#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace yuccashift {

/** Assumed number of prompt bytes per token. */
inline constexpr std::uint32_t bytesPerToken = 4;

/** Estimated number of tokens of a prompt, rounded up. */
std::uint32_t countTokens(std::string_view prompt);

/**
 * Chained hashes of the prompt's complete blocks in order, as engines identify them in
 * cache events. Returns at most 512 hashes, and an empty vector if blockTokens is 0.
 */
std::vector<std::uint64_t> prefixBlocks(std::string_view prompt, std::uint32_t blockTokens);

} // namespace yuccashift
