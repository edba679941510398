#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace standins {

/** SHA-256 in lower-case hex. */
std::string sha256Hex(std::string_view);

/** Text of token `index` of the answer to this prompt; a function of its arguments alone. */
std::string tokenText(std::string_view model, std::string_view prompt, std::uint64_t index);

/** The whole answer of this many tokens. */
std::string answerText(std::string_view model, std::string_view prompt, std::uint64_t tokens);

/** What the plain service answers in `proof` for this call; a function of its arguments alone. */
std::string plainProof(std::string_view method, std::string_view target, std::string_view body);

/** Bytes of prompt that make one token. */
constexpr std::size_t bytesPerToken = 4;

/** Chained hashes of the prompt's whole blocks, first block first. */
std::vector<std::uint64_t> blockHashes(std::string_view prompt, std::size_t blockTokens);

} // namespace standins
