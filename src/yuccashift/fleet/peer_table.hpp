#pragma once

#include "fleet_types.h"
#include "yuccashift/dispatch/work.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccashift {

/** What a region's instances can take of one service, by the newest heartbeat from there. */
struct ServiceCapacity {
    /** By rank of urgency. */
    std::array<Duration, priorityLevels> wait {};
    std::int32_t freeSlots = 0;
};

/** Another instance as its heartbeats show it. */
struct PeerState {
    InstanceId instance;
    std::int32_t instanceHash = 0;
    Incarnation incarnation = 0;
    std::int64_t sequence = 0;
    RegionName region;
    DatacentreName datacentre;
    std::string ip;
    bool takesCallers = false;
    bool draining = false;
    std::int64_t configVersion = 0;
    std::int64_t storeRevision = 0;
    std::map<ServiceName, ServiceCapacity> capacityByService;
    Instant lastHeartbeatAt {};
    /** No hops there until then, since the last one could not be delivered. */
    Instant backOffUntil {};
    /** Hops sent there that have not ended and that its last heartbeat does not show yet. */
    std::int32_t unreportedHops = 0;
};

/** The short hash by which heartbeats name their sender. */
std::int32_t hashOfInstance(const InstanceId&);

/**
 * The instances that this one hears. Silence makes an instance unusable for
 * hops and callers; it never proves that the instance has stopped.
 */
class PeerTable {
public:
    PeerTable(const Clock&, InstanceId self);

    /**
     * Takes a heartbeat; the instance's name, or nothing where it is older than one
     * taken before or from an instance whose profile has not come yet.
     */
    std::optional<InstanceId> onHeartbeat(const fleetwire::Heartbeat&);
    /** From then on an instance that was not heard for so long counts as silent. */
    void setHeartbeatTimeout(Duration silence) { m_silence = silence; }
    /** Members heard lately. */
    std::vector<const PeerState*> alive() const;
    const PeerState* find(const InstanceId&) const;
    bool isAlive(const PeerState&) const;
    /** Members that were never silent for long, for shares of bounds: the most seen lately, this one included. */
    std::size_t knownInstanceCount() const;
    /** Instances of a region that take hops, this one included where it belongs to it. */
    std::vector<InstanceId> activeInstancesIn(const RegionName&, bool selfBelongs) const;
    /**
     * Whether this instance may take a role of its region that only one may hold:
     * it has listened long enough, hears most of those that it remembers, and has
     * heard the same ones for a while. Of a few instances, each may; their number
     * bounds how many take it at once.
     */
    bool mayTakeRegionRole(const RegionName&) const;
    /** The settings name others, so that an instance which hears nobody knows that it is cut off. */
    void expectPeers() { m_expectsOthers = true; }
    /** Notes which instances of the region are heard now; to be called several times a second. */
    void updateActiveInstances(const RegionName&);
    void backOff(const InstanceId&, Duration);
    /** A request goes there now. */
    void onHopStarted(const InstanceId&);
    /** A request that went there has ended. */
    void onHopEnded(const InstanceId&);
    /** Forgets members that were silent for long; their names. */
    std::vector<InstanceId> expire();

private:
    static void takeRooms(PeerState&, const fleetwire::Heartbeat&);

    const Clock& m_clock;
    InstanceId m_self;
    /** Names by the short hash in heartbeats. */
    std::map<std::int32_t, InstanceId> m_names;
    Duration m_silence;
    Instant m_startedAt;
    bool m_expectsOthers = false;
    std::vector<InstanceId> m_owners;
    Instant m_ownersSince;
    std::map<InstanceId, PeerState> m_members;
};

} // namespace yuccashift
