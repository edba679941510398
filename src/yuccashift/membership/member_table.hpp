#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace yuccashift {

struct Listing;

namespace wire {
    class Member;
} // namespace wire

/** Who an instance is and how it is reached. */
struct MemberInfo {
    InstanceId instance;
    /** 0 where it was never heard of but from the platform's list. */
    Incarnation incarnation = 0;
    RegionName region;
    DatacentreName datacentre;
    Endpoint callers;
    Endpoint peers;
    /** Said by the instance itself. */
    bool draining = false;
};

/** What is believed of an instance. None of these says that it has stopped. */
enum class Liveness {
    Alive,
    /** Not heard from in time; it may be running behind a partition. */
    Suspect,
    /** It says that it takes no new work. */
    Draining,
    /** The platform lists it as leaving. */
    Leaving,
    /** No longer listed, and not heard from for long. */
    Gone,
};

std::string_view toString(Liveness);

/** One instance as this one believes it to be. */
struct MemberState {
    MemberInfo info;
    Liveness liveness = Liveness::Suspect;
    bool listed = false;
    bool listedLeaving = false;
    /** It has asked its peers for their documents. */
    bool ready = false;
    /** When it was heard from directly. */
    std::optional<Instant> lastHeartbeatAt;
    /** When it was first known, or was last listed. */
    Instant knownAt;
    /** Of its last heartbeat. */
    std::uint64_t sequence = 0;
    std::uint64_t revisionDigest = 0;
    /** Heartbeats that still pass on what is new about it. */
    std::uint32_t relaysLeft = 0;
    /** When its incarnation or its draining mark changed. */
    Instant changedAt;
};

struct MembershipTiming {
    /** Silence after which a member of the own region is suspect. */
    Duration suspectAfter = seconds(4);
    /** Silence after which a member that is not listed either is gone. */
    Duration goneAfter = seconds(60);
    /** Time for which gone members are remembered; no shorter than a key's lifetime. */
    Duration forgetAfter = std::chrono::minutes(16);
};

/** What a direct heartbeat says of its sender. */
struct HeartbeatStatus {
    std::uint64_t sequence = 0;
    std::uint64_t revisionDigest = 0;
    bool ready = false;
};

/**
 * Beliefs about all instances, from heartbeats and the platform's lagging
 * list. Holds at most maxMembers. Not thread safe; Coordinator guards it.
 */
class MemberTable {
public:
    explicit MemberTable(MemberInfo self, MembershipTiming = {});

    /** Takes a direct heartbeat; false where it is older than what is known, or of an unknown sender without its place. */
    bool onHeartbeat(const MemberInfo&, const HeartbeatStatus&, Instant now);
    /**
     * Takes what another instance passes on; true where it was news.
     * @param passOn whether news go into this instance's own heartbeats too
     */
    bool onRelayed(const MemberInfo&, bool passOn, Instant now);
    void onListing(const Listing&, Instant now);
    /** Brings every liveness up to date. */
    void refresh(Instant now);
    /** After a pause: no earlier direct heartbeat counts any more. */
    void discardHeartbeats(Instant now);
    void setSuspectAfter(Duration suspectAfter) { m_timing.suspectAfter = suspectAfter; }

    const MemberInfo& self() const { return m_self; }
    /** This instance takes no new work from now on. */
    void drainSelf();
    const MemberState* find(const InstanceId&) const;
    const std::map<InstanceId, MemberState>& members() const { return m_members; }
    /** All members of a region that may be running, this instance excluded. */
    std::vector<InstanceId> reachable(const RegionName&) const;
    /** Those of them that are not on their way out. */
    std::vector<InstanceId> candidates(const RegionName&) const;
    /** Members of the own region that are alive, and this instance unless it drains. */
    std::vector<InstanceId> liveInRegion() const;
    std::vector<RegionName> otherRegions() const;
    /** Up to `limit` members whose news is still to be passed on; counts them as passed on. */
    std::vector<MemberInfo> takeUpdates(std::size_t limit);
    /** Members that changed since then. */
    std::vector<MemberInfo> changedSince(Instant, std::size_t limit) const;
    /** A larger incarnation of this very instance was heard of: this one has been replaced. */
    bool superseded() const { return m_superseded; }
    bool hasListing() const { return m_hasListing; }
    /** Grows whenever a member comes, goes, or changes its liveness, address, incarnation or readiness. */
    std::uint64_t generation() const { return m_generation; }

    static constexpr std::size_t maxMembers = 4096;

private:
    MemberState* findOrAdd(const InstanceId&, Instant now);
    bool update(MemberState&, const MemberInfo&, Instant now);
    void setLiveness(MemberState&, Instant now);
    Liveness judge(const MemberState&, Instant now) const;
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
