#include "yuccashift/routing/prefix_blocks.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <openssl/sha.h>

namespace yuccashift {
namespace {

    /** Only the first blocks of longer prompts are hashed, to bound the cost. */
    constexpr std::size_t maxBlocks = 512;
    constexpr std::size_t hashBytes = 8;

    void storeBigEndian(std::uint64_t value, unsigned char* bytes)
    {
        for (std::size_t n = 0; n < hashBytes; ++n)
            bytes[n] = static_cast<unsigned char>(value >> (8 * (hashBytes - 1 - n)));
    }

    std::uint64_t loadBigEndian(const unsigned char* bytes)
    {
        std::uint64_t value = 0;
        for (std::size_t n = 0; n < hashBytes; ++n)
            value = (value << 8) | bytes[n];
        return value;
    }

} // namespace

std::uint32_t countTokens(std::string_view prompt)
{
    return static_cast<std::uint32_t>((prompt.size() + bytesPerToken - 1) / bytesPerToken);
}

std::vector<std::uint64_t> prefixBlocks(std::string_view prompt, std::uint32_t blockTokens)
{
    if (blockTokens == 0)
        return {};
    const std::size_t blockBytes = std::size_t(blockTokens) * bytesPerToken;
    const std::size_t count = std::min(maxBlocks, prompt.size() / blockBytes);
    std::vector<std::uint64_t> blocks;
    blocks.reserve(count);
    std::vector<unsigned char> input(hashBytes + blockBytes);
    std::uint64_t previous = 0;
    for (std::size_t n = 0; n < count; ++n) {
        storeBigEndian(previous, input.data());
        std::memcpy(input.data() + hashBytes, prompt.data() + n * blockBytes, blockBytes);
        std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
        SHA256(input.data(), input.size(), digest.data());
        previous = loadBigEndian(digest.data());
        blocks.push_back(previous);
    }
    return blocks;
}

} // namespace yuccashift
