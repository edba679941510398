#include "yuccashift/peer/handshake.hpp"

#include "peer_types.h"
#include "yuccashift/kernel/random.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/hmac.h>

namespace yuccashift {

namespace {

    constexpr std::size_t nonceBytes = 16;

    // Prefixes each field with its length, so that different fields never give the same message.
    void appendField(std::string& message, std::string_view field)
    {
        message += std::to_string(field.size());
        message += ':';
        message += field;
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
    std::string message;
    appendField(message, end == LinkEnd::Dialler ? "dialler" : "listener");
    for (const auto* hello : { &mine, &theirs }) {
        appendField(message, hello->instance);
        appendField(message, std::to_string(hello->incarnation));
        appendField(message, hello->nonce);
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(), &size);
    return { digest.begin(), digest.begin() + size };
}

bool verifyProof(std::string_view key, LinkEnd end, const wire::Hello& theirs, const wire::Hello& mine, std::string_view proof)
{
    const auto expected = makeProof(key, end, theirs, mine);
    return proof.size() == expected.size() && CRYPTO_memcmp(proof.data(), expected.data(), expected.size()) == 0;
}

} // namespace yuccashift
