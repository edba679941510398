#include "standins/common/answer_text.hpp"

#include <array>
#include <openssl/sha.h>

namespace standins {

namespace {

    using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

    Digest digestOf(std::string_view text)
    {
        Digest digest {};
        SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
        return digest;
    }

    std::uint64_t firstEightBytes(const Digest& digest)
    {
        constexpr int bits = 8;
        std::uint64_t value = 0;
        for (std::size_t n = 0; n < sizeof value; ++n)
            value = value << bits | digest[n];
        return value;
    }

    std::string bigEndian(std::uint64_t value)
    {
        constexpr int bits = 8;
        std::string bytes(sizeof value, '\0');
        for (auto it = bytes.rbegin(); it != bytes.rend(); ++it) {
            *it = static_cast<char>(value);
            value >>= bits;
        }
        return bytes;
    }

} // namespace

std::string sha256Hex(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (const auto byte : digestOf(text)) {
        hex += digits[byte >> 4];
        hex += digits[byte & 15];
    }
    return hex;
}

std::string tokenText(std::string_view model, std::string_view prompt, std::uint64_t index)
{
    constexpr std::size_t markLength = 8;
    const auto mark = sha256Hex(std::string(model) + '\n' + std::string(prompt));
    return mark.substr(0, markLength) + "." + std::to_string(index) + " ";
}

std::string answerText(std::string_view model, std::string_view prompt, std::uint64_t tokens)
{
    std::string text;
    for (std::uint64_t n = 0; n < tokens; ++n)
        text += tokenText(model, prompt, n);
    return text;
}

std::string plainProof(std::string_view method, std::string_view target, std::string_view body)
{
    return sha256Hex(std::string(method) + '\n' + std::string(target) + '\n' + std::string(body));
}

std::vector<std::uint64_t> blockHashes(std::string_view prompt, std::size_t blockTokens)
{
    const auto blockBytes = blockTokens * bytesPerToken;
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    for (std::size_t n = 0; blockBytes != 0 && n + blockBytes <= prompt.size(); n += blockBytes) {
        previous = firstEightBytes(digestOf(bigEndian(previous) + std::string(prompt.substr(n, blockBytes))));
        hashes.push_back(previous);
    }
    return hashes;
}

} // namespace standins
