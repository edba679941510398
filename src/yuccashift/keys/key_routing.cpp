#include "yuccashift/keys/key_routing.hpp"

namespace yuccashift {

namespace {

    // Every refusal here reports an unknown outcome, regardless of the default run
    // state of its error kind: an earlier request with the same key may have run
    // on the instance that minted it.
    KeyRoute refuse(ErrorKind kind, std::string detail)
    {
        return { KeyAction::Refuse, {}, Error { kind, std::move(detail), RunState::OutcomeUnknown, {} } };
    }

    KeyRoute routeOwnKey(const MintedKey& key, const KeyOwner& self, Instant now)
    {
        if (key.incarnation < self.incarnation)
            return refuse(ErrorKind::KeyExpired, "the instance has restarted since it handed out the key");
        if (key.incarnation > self.incarnation)
            return refuse(ErrorKind::KeyOwnerUnreachable, "a later start of this instance handed out the key");
        if (isExpired(key, self, now))
            return refuse(ErrorKind::KeyExpired, "the key is older than its lifetime");
        return { KeyAction::RunHere, {}, {} };
    }

} // namespace

bool isExpired(const MintedKey& key, const KeyOwner& owner, Instant now)
{
    return now - owner.startedAt >= key.mintedAt + owner.lifetime;
}

KeyRoute routeKey(const MintedKey& key, const KeyOwner& self, const MinterState& minter, bool forwarded, Instant now)
{
    if (key.instance == self.instance)
        return routeOwnKey(key, self, now);
    if (forwarded)
        return refuse(ErrorKind::KeyOwnerUnreachable, "the request was forwarded to an instance that did not hand out the key");
    if (minter.latestIncarnation && *minter.latestIncarnation > key.incarnation)
        return refuse(ErrorKind::KeyExpired, "the instance that handed out the key has restarted");
    if (!minter.regionAllowed)
        return refuse(ErrorKind::ResidencyViolation, "the key was handed out in a region that may not take the request");
    if (!minter.reachable)
        return refuse(ErrorKind::KeyOwnerUnreachable, "the instance that handed out the key cannot be asked");
    return { KeyAction::Forward, key.instance, {} };
}

} // namespace yuccashift
