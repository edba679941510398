#include "yuccashift/kernel/hash.hpp"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace yuccashift {

namespace {

    constexpr std::size_t sha256Bytes = 32;
    using Sha256 = std::array<unsigned char, sha256Bytes>;

    Sha256 sha256(std::string_view bytes)
    {
        Sha256 digest {};
        unsigned int size = 0;
        EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
        return digest;
    }

} // namespace

std::uint64_t hash64(std::string_view bytes)
{
    return boost::endian::load_big_u64(sha256(bytes).data());
}

std::uint64_t hash64(std::span<const std::string_view> parts)
{
    std::string joined;
    for (const auto part : parts) {
        joined += std::to_string(part.size());
        joined += ':';
        joined += part;
    }
    return hash64(joined);
}

std::string sha256Hex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const auto byte : sha256(bytes)) {
        text += digits[byte >> 4];
        text += digits[byte & 0xf];
    }
    return text;
}

Mac hmac128(std::string_view secret, std::string_view bytes)
{
    Sha256 digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data(), &size);
    Mac mac {};
    std::copy_n(digest.begin(), mac.size(), mac.begin());
    return mac;
}

bool equalMacs(const Mac& left, const Mac& right)
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace yuccashift
