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

/** The identity that an instance presents when it dials or accepts a link. */
struct PeerIdentity {
    InstanceId instance;
    Incarnation incarnation = 0;
};

/** The end of a link that makes a proof. It is part of the proof, so that a proof can't be reflected to the end that made it. */
enum class LinkEnd {
    Dialler,
    Listener,
};

/** Returns a random nonce of 16 bytes. */
std::string makeNonce(RandomSource&);

/**
 * HMAC-SHA256 with the shared key over the end, both identities and both nonces.
 * `mine` is the Hello of the end that makes the proof, `theirs` that of the other end.
 */
std::string makeProof(std::string_view key, LinkEnd end, const wire::Hello& mine, const wire::Hello& theirs);

/** Whether the other end's proof is valid. The comparison takes constant time. */
bool verifyProof(std::string_view key, LinkEnd end, const wire::Hello& theirs, const wire::Hello& mine, std::string_view proof);

} // namespace yuccashift
