#pragma once

#include "yuccashift/keys/minted_key.hpp"

#include <optional>

namespace yuccashift {

enum class KeyAction {
    RunHere,
    Forward,
    Refuse,
};

/** The incarnation that decides, and its clock. */
struct KeyOwner {
    InstanceId instance;
    Incarnation incarnation = 0;
    Instant startedAt;
    /** Time for which a key can be used after it was minted. */
    Duration lifetime {};
};

/** What this instance believes of the one that minted a key. */
struct MinterBelief {
    /** Incarnation heard of last; nothing where none was. */
    std::optional<Incarnation> incarnation;
    /** Whether a link to it can be used now. */
    bool reachable = false;
    /** Whether the request may be handed to its region. */
    bool regionAllowed = true;
};

/** Where a request with a minted key has to go. */
struct KeyRoute {
    KeyAction action = KeyAction::Refuse;
    /** The minting instance, for Forward. */
    InstanceId instance;
    /** For Refuse. */
    std::optional<Error> error;
};

/** Whether this key is refused for its age; computed from the key and the minter's clock alone. */
bool isExpired(const MintedKey&, const KeyOwner&, Instant now);

/**
 * Decides who may run a key. Only the minting incarnation does; others
 * forward once to its instance, and whatever cannot reach it is refused with
 * an unknown outcome, since the key may have run there.
 * @param forwarded whether another instance sent the request here
 */
KeyRoute routeKey(const MintedKey&, const KeyOwner& self, const MinterBelief&, bool forwarded, Instant now);

} // namespace yuccashift
