#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace standins {

/** Returns the SHA-256 digest in lower-case hex. */
std::string sha256Hex(std::string_view);

/** Returns the text of token `index` of the answer to this prompt; depends only on the arguments. */
std::string tokenText(std::string_view model, std::string_view prompt, std::uint64_t index);

/** Returns the complete answer with this number of tokens. */
std::string answerText(std::string_view model, std::string_view prompt, std::uint64_t tokens);

/** Returns the value of `proof` in the plain service's answer to this call; depends only on the arguments. */
std::string plainProof(std::string_view method, std::string_view target, std::string_view body);

/** Number of prompt bytes per token. */
constexpr std::size_t bytesPerToken = 4;

/** Returns the chained hashes of the prompt's complete blocks in order; an incomplete last block is left out. */
std::vector<std::uint64_t> blockHashes(std::string_view prompt, std::size_t blockTokens);

} // namespace standins
