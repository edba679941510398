#pragma once

#include "yuccashift/keys/minted_key.hpp"

#include <optional>

namespace yuccashift {

/** What this instance does with a request that carries a minted key. */
enum class KeyAction {
    RunHere,
    Forward,
    Refuse,
};

/** The incarnation that makes the decision, and the data it needs to compute the age of its keys. */
struct KeyOwner {
    InstanceId instance;
    Incarnation incarnation = 0;
    Instant startedAt;
    /** How long a key is accepted after it was minted. */
    Duration lifetime {};
};

/** What this instance knows about the instance that minted a key. */
struct MinterState {
    /** The latest incarnation known; std::nullopt if none is known. */
    std::optional<Incarnation> latestIncarnation;
    /** Whether there is a usable connection to that instance. */
    bool reachable = false;
    /** Whether the request may be forwarded to the region of that instance. */
    bool regionAllowed = true;
};

/** Decision on a request with a minted key. */
struct KeyRoute {
    KeyAction action = KeyAction::Refuse;
    /** The minting instance; set only for Forward. */
    InstanceId instance;
    /** Set only for Refuse. */
    std::optional<Error> error;
};

/** Whether the key has exceeded its lifetime. Depends only on the key and the clock of its minter. */
bool isExpired(const MintedKey&, const KeyOwner&, Instant now);

/**
 * Decides which instance may run a request with a minted key. Only the minting
 * incarnation may run it. Other instances forward the request to that instance
 * once. If it cannot be reached, the request is refused with an unknown outcome,
 * because it may already have run there.
 * @param forwarded whether another instance forwarded the request to this one
 */
KeyRoute routeKey(const MintedKey&, const KeyOwner& self, const MinterState&, bool forwarded, Instant now);

} // namespace yuccashift
