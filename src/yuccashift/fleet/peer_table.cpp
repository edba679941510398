#include "yuccashift/fleet/peer_table.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/log.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    // Long enough that an instance does not count as silent when several heartbeats are lost.
    constexpr Duration minHeartbeatTimeout = milliseconds(1500);
    // A peer that has been silent for this long is removed; one that returns is added again with its next heartbeat.
    constexpr Duration forgetAfter = seconds(30);
    // An instance has heard all others this long after its start, even at the longest heartbeat interval.
    constexpr Duration listeningTime = seconds(2);
    // The active instances must stay the same for this long before one takes a role, so that the previous holder has
    // given it up.
    constexpr Duration settlingTime = seconds(1);
    // In a region of this size no majority is required: the limits that a role's holder keeps leave headroom for one
    // more holder that cannot hear the first, but not for two.
    constexpr std::size_t maxWithoutMajority = 2;

} // namespace

PeerTable::PeerTable(const Clock& clock, InstanceId self)
    : m_clock(clock)
    , m_self(std::move(self))
    , m_heartbeatTimeout(minHeartbeatTimeout)
    , m_startedAt(clock.now())
    , m_activeInstancesSince(m_startedAt)
{
}

void PeerTable::updateActiveInstances(const RegionName& region)
{
    auto instances = activeInstancesIn(region, true);
    if (instances == m_activeInstances)
        return;
    m_activeInstances = std::move(instances);
    m_activeInstancesSince = m_clock.now();
}

bool PeerTable::mayTakeRegionRole(const RegionName& region) const
{
    if (m_clock.now() - m_startedAt < listeningTime || m_clock.now() - m_activeInstancesSince < settlingTime)
        return false;
    if (isIsolated())
        return false;
    std::size_t knownCount = 1;
    std::size_t aliveCount = 1;
    for (const auto& [name, peer] : m_peers) {
        knownCount += peer.region == region ? 1 : 0;
        aliveCount += peer.region == region && isAlive(peer) ? 1 : 0;
    }
    return knownCount <= maxWithoutMajority || 2 * aliveCount > knownCount;
}

std::int32_t hashOfInstance(const InstanceId& instance)
{
    return static_cast<std::int32_t>(hash64(instance));
}

std::optional<InstanceId> PeerTable::onHeartbeat(const fleetwire::Heartbeat& beat)
{
    if (beat.__isset.profile)
        m_names[beat.sender] = beat.profile.instance;
    const auto name = m_names.find(beat.sender);
    if (name == m_names.end() || name->second.empty() || name->second == m_self)
        return {};
    const auto known = m_peers.find(name->second);
    if (known == m_peers.end() && !beat.__isset.profile)
        return {};
    auto& peer = m_peers[name->second];
    const auto incarnation = static_cast<Incarnation>(beat.incarnation);
    const bool older = incarnation < peer.incarnation || (incarnation == peer.incarnation && beat.sequence <= peer.sequence);
    if (!peer.instance.empty() && older)
        return {};
    const bool newlyAlive = peer.instance.empty() || incarnation != peer.incarnation || !isAlive(peer);
    peer.instance = name->second;
    peer.instanceHash = beat.sender;
    if (beat.__isset.profile) {
        peer.region = beat.profile.region;
        peer.datacentre = beat.profile.datacentre;
        peer.ip = beat.profile.ip;
        peer.capacity = beat.profile.capacity > 0 ? beat.profile.capacity / capacityUnitsPerCore : 1.0;
    }
    if (newlyAlive)
        logInfo("peer is alive", { { "peer", peer.instance }, { "region", peer.region }, { "incarnation", beat.incarnation } });
    if (!peer.draining && beat.draining)
        logInfo("peer is draining", { { "peer", peer.instance } });
    peer.incarnation = incarnation;
    peer.sequence = beat.sequence;
    peer.takesCallers = beat.takesCallers;
    peer.draining = beat.draining;
    peer.configVersion = beat.configVersion;
    peer.storeEra = beat.storeEra;
    peer.storeRevision = beat.storeRevision;
    peer.sendsValues = beat.knownRevision > 0;
    peer.reachesNoServer = beat.reachesNoServer;
    peer.keepsStreamSoftware = beat.keepsStreamSoftware;
    peer.namesOrganisations = beat.namesOrganisations;
    peer.marksServerAnswers = beat.marksServerAnswers;
    peer.knownRevision = std::max(beat.storeRevision, beat.knownRevision);
    peer.lastHeartbeatAt = m_clock.now();
    updateCapacity(peer, beat);
    return peer.instance;
}

void PeerTable::updateCapacity(PeerState& peer, const fleetwire::Heartbeat& beat)
{
    if (!beat.reportsCapacity && beat.rooms.empty())
        return;
    peer.unreportedHops = 0;
    peer.capacityByService.clear();
    for (const auto& reported : beat.rooms) {
        auto& capacity = peer.capacityByService[reported.serviceName];
        capacity.freeSlots = reported.freeSlots;
        // An instance of another version may report fewer priority levels; its last one then stands for the rest.
        for (std::size_t i = 0; i < priorityLevels && !reported.waitMs.empty(); ++i)
            capacity.wait[i] = milliseconds(std::max(0, reported.waitMs[std::min(i, reported.waitMs.size() - 1)]));
        for (std::size_t i = 0; i < priorityLevels && !reported.acceptPercent.empty(); ++i)
            capacity.acceptedShare[i] = reported.acceptPercent[std::min(i, reported.acceptPercent.size() - 1)] / 100.0;
    }
}

bool PeerTable::isAlive(const PeerState& peer) const
{
    return m_clock.now() - peer.lastHeartbeatAt < m_heartbeatTimeout;
}

std::vector<const PeerState*> PeerTable::alive() const
{
    std::vector<const PeerState*> members;
    for (const auto& [name, peer] : m_peers) {
        if (isAlive(peer))
            members.push_back(&peer);
    }
    return members;
}

std::int64_t PeerTable::newestConfigVersion() const
{
    std::int64_t newest = 0;
    for (const auto* peer : alive())
        newest = std::max(newest, peer->configVersion);
    return newest;
}

StorePosition PeerTable::newestKnownPosition() const
{
    StorePosition newest;
    for (const auto* peer : alive())
        newest = std::max(newest, StorePosition { peer->storeEra, peer->knownRevision });
    return newest;
}

bool PeerTable::hearsOthersSince(Instant time) const
{
    const bool heard = std::ranges::any_of(m_peers, [&](const auto& it) { return it.second.lastHeartbeatAt >= time; });
    return heard || (!m_expectsPeers && m_peers.empty());
}

const PeerState* PeerTable::find(const InstanceId& instance) const
{
    const auto it = m_peers.find(instance);
    return it == m_peers.end() ? nullptr : &it->second;
}

std::size_t PeerTable::knownInstanceCount() const
{
    return m_peers.size() + 1;
}

std::size_t PeerTable::knownInstancesIn(const RegionName& region) const
{
    return 1 + static_cast<std::size_t>(std::ranges::count(m_peers, region, [](const auto& it) { return it.second.region; }));
}

std::vector<InstanceId> PeerTable::activeInstancesIn(const RegionName& region, bool includeSelf) const
{
    std::vector<InstanceId> instances;
    for (const auto& [name, peer] : m_peers) {
        if (peer.region == region && isAlive(peer) && !peer.draining)
            instances.push_back(name);
    }
    if (includeSelf)
        instances.push_back(m_self);
    return instances;
}

void PeerTable::backOff(const InstanceId& instance, Duration time)
{
    if (const auto it = m_peers.find(instance); it != m_peers.end())
        it->second.backOffUntil = m_clock.now() + time;
}

void PeerTable::onNoCapacity(const InstanceId& instance, const ServiceName& service)
{
    if (const auto it = m_peers.find(instance); it != m_peers.end())
        it->second.capacityByService.erase(service);
}

void PeerTable::onHopStarted(const InstanceId& instance)
{
    if (const auto it = m_peers.find(instance); it != m_peers.end())
        ++it->second.unreportedHops;
}

// The hop that ended may already be reflected in a heartbeat. The counter is then one too low, which leaves a hop in
// progress uncounted until the next heartbeat.
void PeerTable::onHopEnded(const InstanceId& instance)
{
    const auto it = m_peers.find(instance);
    if (it != m_peers.end() && it->second.unreportedHops > 0)
        --it->second.unreportedHops;
}

std::vector<InstanceId> PeerTable::expire()
{
    std::vector<InstanceId> removed;
    const auto oldest = m_clock.now() - forgetAfter;
    std::erase_if(m_peers, [&](const auto& entry) {
        if (entry.second.lastHeartbeatAt >= oldest)
            return false;
        removed.push_back(entry.first);
        m_names.erase(entry.second.instanceHash);
        return true;
    });
    return removed;
}

} // namespace yuccashift
