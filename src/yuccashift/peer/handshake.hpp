#pragma once

#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <string>
#include <string_view>

namespace yuccashift::wire {
class Hello;
} // namespace yuccashift::wire

namespace yuccashift {

class RandomSource;

/** Who an instance says it is when it opens or accepts a link. */
struct PeerIdentity {
    InstanceId instance;
    Incarnation incarnation = 0;
};

/** Which end of a link a proof comes from; keeps a proof from being reflected. */
enum class LinkEnd {
    Dialler,
    Listener,
};

/** A nonce of 16 bytes. */
std::string makeNonce(RandomSource&);

/**
 * HMAC-SHA256 by the shared key over the end, both nonces and both identities.
 * `theirs` is the nonce that the other end chose.
 */
std::string makeProof(std::string_view key, LinkEnd end, const wire::Hello& mine, const wire::Hello& theirs);

/** Whether the other end's proof is right; compares in constant time. */
bool checkProof(std::string_view key, LinkEnd end, const wire::Hello& theirs, const wire::Hello& mine, std::string_view proof);

} // namespace yuccashift
