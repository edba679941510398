#include "yuccashift/peer/handshake.hpp"

#include "peer_types.h"
#include "yuccashift/kernel/random.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/hmac.h>

namespace yuccashift {

namespace {

    constexpr std::size_t nonceBytes = 16;

    // Lengths are written before each part, so that no two inputs give the same text.
    void append(std::string& text, std::string_view part)
    {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    }

} // namespace

std::string makeNonce(RandomSource& random)
{
    std::string nonce;
    while (nonce.size() < nonceBytes)
        nonce.push_back(static_cast<char>(random.next() & 0xff));
    return nonce;
}

std::string makeProof(std::string_view key, LinkEnd end, const wire::Hello& mine, const wire::Hello& theirs)
{
    std::string text;
    append(text, end == LinkEnd::Dialler ? "dialler" : "listener");
    for (const auto* hello : { &mine, &theirs }) {
        append(text, hello->instance);
        append(text, std::to_string(hello->incarnation));
        append(text, hello->nonce);
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &size);
    return { digest.begin(), digest.begin() + size };
}

bool checkProof(std::string_view key, LinkEnd end, const wire::Hello& theirs, const wire::Hello& mine, std::string_view proof)
{
    const auto expected = makeProof(key, end, theirs, mine);
    return proof.size() == expected.size() && CRYPTO_memcmp(proof.data(), expected.data(), expected.size()) == 0;
}

} // namespace yuccashift
