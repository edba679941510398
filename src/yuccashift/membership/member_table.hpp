#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace yuccashift {

struct InstanceListing;

namespace wire {
    class Member;
} // namespace wire

/** Identity and addresses of an instance. */
struct MemberInfo {
    InstanceId instance;
    /** 0 if the instance is known only from the platform's list. */
    Incarnation incarnation = 0;
    RegionName region;
    DatacentreName datacentre;
    Endpoint callers;
    Endpoint peers;
    /** Whether the instance itself reports that it is draining. */
    bool draining = false;
};

/** State of an instance as far as it is known. No value proves that the instance has stopped. */
enum class Liveness {
    Alive,
    /** No heartbeat arrived in time; the instance may be running behind a network partition. */
    Suspect,
    /** It reports that it accepts no new work. */
    Draining,
    /** The platform lists it as leaving. */
    Leaving,
    /** No longer listed, and not heard from for MembershipTiming::goneAfter. */
    Gone,
};

std::string_view toString(Liveness);

/** What this instance knows about another one. */
struct MemberState {
    MemberInfo info;
    Liveness liveness = Liveness::Suspect;
    bool listed = false;
    bool listedLeaving = false;
    /** Whether it has asked its peers for their documents. */
    bool ready = false;
    /** When its last direct heartbeat arrived; std::nullopt if there was none since the last pause. */
    std::optional<Instant> lastHeartbeatAt;
    /** When it was added or last listed, or when the last pause of this process ended. */
    Instant knownAt;
    /** Sequence number of its last heartbeat. */
    std::uint64_t sequence = 0;
    std::uint64_t revisionDigest = 0;
    /** Number of this instance's heartbeats that still relay its latest change. */
    std::uint32_t relaysLeft = 0;
    /** When it was added, or when its incarnation or draining state last changed. */
    Instant changedAt;
};

struct MembershipTiming {
    /** Silence after which a member of the own region is suspect. */
    Duration suspectAfter = seconds(4);
    /** Silence after which an unlisted member counts as gone. */
    Duration goneAfter = seconds(60);
    /** Silence after which a gone member is removed from the table; at least the lifetime of a key. */
    Duration forgetAfter = std::chrono::minutes(16);
};

/** State that a direct heartbeat reports about its sender. */
struct HeartbeatStatus {
    std::uint64_t sequence = 0;
    std::uint64_t revisionDigest = 0;
    bool ready = false;
};

/**
 * Table of all other instances, from their heartbeats and from the platform's
 * list, which lags behind. Holds at most maxMembers. Not thread safe;
 * Coordinator guards it.
 */
class MemberTable {
public:
    explicit MemberTable(MemberInfo self, MembershipTiming = {});

    /**
     * Processes a heartbeat that its sender sent to this instance. Returns false if it is
     * ignored: it is not newer than the last one, its sender is unknown and gives no
     * region, the table is full, or it names this instance as its sender.
     */
    bool onHeartbeat(const MemberInfo&, const HeartbeatStatus&, Instant now);
    /**
     * Processes what another instance relays about a member. Returns whether it brought a
     * new incarnation or the start of draining.
     * @param relay whether this instance's heartbeats relay the change too
     */
    bool onRelayed(const MemberInfo&, bool relay, Instant now);
    void onListing(const InstanceListing&, Instant now);
    /** Updates the liveness of all members and removes those that have been gone for long. */
    void refresh(Instant now);
    /** To be called after a pause of the process: discards all direct heartbeats from before it. */
    void discardHeartbeats(Instant now);
    void setSuspectAfter(Duration suspectAfter) { m_timing.suspectAfter = suspectAfter; }

    const MemberInfo& self() const { return m_self; }
    /** Marks this instance as draining. */
    void drainSelf();
    const MemberState* find(const InstanceId&) const;
    const std::map<InstanceId, MemberState>& members() const { return m_members; }
    /** Members of a region that may be running, without this instance. */
    std::vector<InstanceId> reachable(const RegionName&) const;
    /** The reachable() members that are neither draining nor leaving. */
    std::vector<InstanceId> candidates(const RegionName&) const;
    /** Alive members of the own region, and this instance unless it drains. */
    std::vector<InstanceId> liveInRegion() const;
    std::vector<RegionName> otherRegions() const;
    /** Returns up to `limit` members with a change that is still to be relayed, and counts each as relayed once more. */
    std::vector<MemberInfo> takeUpdates(std::size_t limit);
    /** Up to `limit` members that changed at or after a time; see MemberState::changedAt. */
    std::vector<MemberInfo> changedSince(Instant, std::size_t limit) const;
    /** Whether a larger incarnation of this instance was reported, which means that this one has been replaced. */
    bool superseded() const { return m_superseded; }
    bool hasListing() const { return m_hasListing; }
    /** Grows whenever a member is added, is removed, or changes its liveness, address, incarnation or readiness. */
    std::uint64_t generation() const { return m_generation; }

    static constexpr std::size_t maxMembers = 4096;

private:
    MemberState* findOrAdd(const InstanceId&, Instant now);
    bool update(MemberState&, const MemberInfo&, Instant now);
    void setLiveness(MemberState&, Instant now);
    Liveness evaluateLiveness(const MemberState&, Instant now) const;
    template <typename Predicate>
    std::vector<InstanceId> select(const RegionName&, Predicate&&) const;

    MemberInfo m_self;
    MembershipTiming m_timing;
    std::map<InstanceId, MemberState> m_members;
    bool m_superseded = false;
    bool m_hasListing = false;
    std::uint64_t m_generation = 0;
};

wire::Member toWire(const MemberInfo&);
MemberInfo fromWire(const wire::Member&);

} // namespace yuccashift
