#pragma once

#include "fleet_types.h"
#include "yuccashift/dispatch/work.hpp"
#include "yuccashift/fleet/item_replica.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccashift {

/** Capacity of a peer's region for one service, from the peer's last heartbeat that reported capacity. */
struct ServiceCapacity {
    /** Expected time to the first event of a small new request, by priority level. */
    std::array<Duration, priorityLevels> wait {};
    /** Requests that fit before the region's servers are full. */
    std::int32_t freeSlots = 0;
    /** Share of the offered requests that the region's engines take, by priority level. */
    std::array<double, priorityLevels> acceptedShare { 1, 1, 1, 1 };
};

/** Another instance as its heartbeats describe it. */
struct PeerState {
    InstanceId instance;
    /** Hash that identifies the instance in heartbeats, see hashOfInstance(). */
    std::int32_t instanceHash = 0;
    Incarnation incarnation = 0;
    std::int64_t sequence = 0;
    RegionName region;
    DatacentreName datacentre;
    std::string ip;
    /** Capacity for requests of other instances, in processor cores. */
    double capacity = 1;
    bool takesCallers = false;
    bool draining = false;
    std::int64_t configVersion = 0;
    /** Era of the store to which its revisions belong; 0 if it is an earlier version or the store names none. */
    std::int64_t storeEra = 0;
    /** Revision up to which the peer has all published items with their values. */
    std::int64_t storeRevision = 0;
    /** Revision up to which it knows all changes, though it may lack values. */
    std::int64_t knownRevision = 0;
    /** Whether it answers requests for single values; earlier versions do not. */
    bool sendsValues = false;
    /** Whether it continues streams only at the software that a hop names; earlier versions do not. */
    bool keepsStreamSoftware = false;
    /** Whether it names the organisation of a hop's caller to backend servers; earlier versions do not. */
    bool namesOrganisations = false;
    /** Whether it marks the answers of backend servers to forwarded requests; earlier versions do not. */
    bool marksServerAnswers = false;
    std::map<ServiceName, ServiceCapacity> capacityByService;
    /** Whether its connections to all servers of its region fail. */
    bool reachesNoServer = false;
    /** When the last heartbeat was accepted. */
    Instant lastHeartbeatAt {};
    /** No hops are sent to this peer before this time, since the last one could not be delivered. */
    Instant backOffUntil {};
    /** Hops to this peer that are in progress and not yet reflected in the capacity it reported last. */
    std::int32_t unreportedHops = 0;
};

/** Unit of the capacity in heartbeats, as a part of a core. */
constexpr double capacityUnitsPerCore = 1000;

/** The short hash by which heartbeats identify their sender. */
std::int32_t hashOfInstance(const InstanceId&);

/**
 * The peers from which this instance receives heartbeats. A silent peer is not
 * used for hops and not offered to callers, but its silence does not prove that
 * it has stopped.
 */
class PeerTable {
public:
    PeerTable(const Clock&, InstanceId self);

    /**
     * Processes a heartbeat and returns the name of its sender, or std::nullopt if the
     * heartbeat is ignored: it is not newer than the last one accepted, its sender's
     * profile has not arrived yet, or this instance sent it itself.
     */
    std::optional<InstanceId> onHeartbeat(const fleetwire::Heartbeat&);
    /** Sets the time without a heartbeat after which a peer counts as silent. */
    void setHeartbeatTimeout(Duration timeout) { m_heartbeatTimeout = timeout; }
    /** Peers that are not silent. */
    std::vector<const PeerState*> alive() const;
    /** The newest version of the configuration that a peer which is not silent holds; 0 if there is none. */
    std::int64_t newestConfigVersion() const;
    /** The newest position up to which a peer that is not silent knows all changes of the store. */
    StorePosition newestKnownPosition() const;
    /** Whether a peer was heard at this time or later, or no others are expected. */
    bool hearsOthersSince(Instant) const;
    const PeerState* find(const InstanceId&) const;
    bool isAlive(const PeerState&) const;
    /**
     * Number of instances by which shared limits are divided: this one and all peers
     * in the table, which includes peers that fell silent only recently.
     */
    std::size_t knownInstanceCount() const;
    /**
     * Peers in a region that are neither silent nor draining.
     * @param includeSelf whether to append this instance
     */
    std::vector<InstanceId> activeInstancesIn(const RegionName&, bool includeSelf) const;
    /** Number of instances in the own region: this one and its peers there, including those that fell silent only recently. */
    std::size_t knownInstancesIn(const RegionName&) const;
    /**
     * Whether this instance may take a role that only one instance of the region should
     * hold. That requires that it has listened long enough since its start, that the
     * region's active instances have not changed for a while, and that it hears more
     * than half of the instances it knows there. The majority is not required in a
     * region of two instances or fewer, whose number limits how many hold the role at once.
     */
    bool mayTakeRegionRole(const RegionName&) const;
    /** Whether the settings name other instances and none of them has been heard lately. */
    bool isIsolated() const { return m_expectsPeers && m_peers.empty(); }
    /** To be called if the settings name other instances: an instance that hears none of them is then cut off and takes no role. */
    void expectPeers() { m_expectsPeers = true; }
    /** Records which instances of the region are active now, for mayTakeRegionRole(); to be called several times a second. */
    void updateActiveInstances(const RegionName&);
    /** Excludes a peer from hops for a duration. */
    void backOff(const InstanceId&, Duration);
    /** Records that the peer had no server for the service; it gets no hops for the service until it reports capacity again. */
    void onNoCapacity(const InstanceId&, const ServiceName&);
    /** Counts a hop that is sent to the peer. */
    void onHopStarted(const InstanceId&);
    /** Counts the end of a hop to the peer. */
    void onHopEnded(const InstanceId&);
    /** Removes peers that have been silent for a long time and returns their names. */
    std::vector<InstanceId> expire();

private:
    static void updateCapacity(PeerState&, const fleetwire::Heartbeat&);

    const Clock& m_clock;
    InstanceId m_self;
    /** Instance names by the short hash in heartbeats. */
    std::map<std::int32_t, InstanceId> m_names;
    Duration m_heartbeatTimeout;
    Instant m_startedAt;
    bool m_expectsPeers = false;
    std::vector<InstanceId> m_activeInstances;
    Instant m_activeInstancesSince;
    std::map<InstanceId, PeerState> m_peers;
};

} // namespace yuccashift
