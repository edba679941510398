#include "yuccashift/fleet/peer_table.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/log.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** Several heartbeats may be lost before an instance counts as silent. */
    constexpr Duration shortestSilence = milliseconds(1500);
    /** An instance silent for so long is forgotten; one that returns is heard again within a heartbeat. */
    constexpr Duration forgetAfter = seconds(30);
    /** Within this time of its start an instance has heard all others, at the slowest pace of heartbeats. */
    constexpr Duration listening = seconds(2);
    /** For so long the same instances have to be heard before one of them takes a role, so that others have given it up. */
    constexpr Duration settling = seconds(1);
    /** Bounds that one owner keeps have room for another one that does not hear it, but not for more. */
    constexpr std::size_t fewInstances = 2;

} // namespace

PeerTable::PeerTable(const Clock& clock, InstanceId self)
    : m_clock(clock)
    , m_self(std::move(self))
    , m_silence(shortestSilence)
    , m_startedAt(clock.now())
    , m_ownersSince(m_startedAt)
{
}

void PeerTable::updateActiveInstances(const RegionName& region)
{
    auto owners = activeInstancesIn(region, true);
    if (owners == m_owners)
        return;
    m_owners = std::move(owners);
    m_ownersSince = m_clock.now();
}

bool PeerTable::mayTakeRegionRole(const RegionName& region) const
{
    if (m_clock.now() - m_startedAt < listening || m_clock.now() - m_ownersSince < settling)
        return false;
    if (m_expectsOthers && m_members.empty())
        return false;
    std::size_t remembered = 1;
    std::size_t heard = 1;
    for (const auto& [name, member] : m_members) {
        remembered += member.region == region ? 1 : 0;
        heard += member.region == region && isAlive(member) ? 1 : 0;
    }
    return remembered <= fewInstances || 2 * heard > remembered;
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
    const auto known = m_members.find(name->second);
    if (known == m_members.end() && !beat.__isset.profile)
        return {};
    auto& member = m_members[name->second];
    const auto incarnation = static_cast<Incarnation>(beat.incarnation);
    const bool older = incarnation < member.incarnation || (incarnation == member.incarnation && beat.sequence <= member.sequence);
    if (!member.instance.empty() && older)
        return {};
    const bool fresh = member.instance.empty() || incarnation != member.incarnation || !isAlive(member);
    member.instance = name->second;
    member.instanceHash = beat.sender;
    if (beat.__isset.profile) {
        member.region = beat.profile.region;
        member.datacentre = beat.profile.datacentre;
        member.ip = beat.profile.ip;
    }
    if (fresh)
        logInfo("instance heard", { { "peer", member.instance }, { "region", member.region }, { "incarnation", beat.incarnation } });
    if (!member.draining && beat.draining)
        logInfo("instance draining", { { "peer", member.instance } });
    member.incarnation = incarnation;
    member.sequence = beat.sequence;
    member.takesCallers = beat.takesCallers;
    member.draining = beat.draining;
    member.configVersion = beat.configVersion;
    member.storeRevision = beat.storeRevision;
    member.lastHeartbeatAt = m_clock.now();
    takeRooms(member, beat);
    return member.instance;
}

void PeerTable::takeRooms(PeerState& member, const fleetwire::Heartbeat& beat)
{
    // Instances of the own region tell their loads instead.
    if (beat.rooms.empty())
        return;
    member.unreportedHops = 0;
    member.capacityByService.clear();
    for (const auto& room : beat.rooms) {
        auto& view = member.capacityByService[room.serviceName];
        view.freeSlots = room.freeSlots;
        // An instance of another version may tell of fewer ranks.
        for (std::size_t i = 0; i < priorityLevels && !room.waitMs.empty(); ++i)
            view.wait[i] = milliseconds(room.waitMs[std::min(i, room.waitMs.size() - 1)]);
    }
}

bool PeerTable::isAlive(const PeerState& member) const
{
    return m_clock.now() - member.lastHeartbeatAt < m_silence;
}

std::vector<const PeerState*> PeerTable::alive() const
{
    std::vector<const PeerState*> members;
    for (const auto& [name, member] : m_members) {
        if (isAlive(member))
            members.push_back(&member);
    }
    return members;
}

const PeerState* PeerTable::find(const InstanceId& instance) const
{
    const auto it = m_members.find(instance);
    return it == m_members.end() ? nullptr : &it->second;
}

std::size_t PeerTable::knownInstanceCount() const
{
    return m_members.size() + 1;
}

std::vector<InstanceId> PeerTable::activeInstancesIn(const RegionName& region, bool selfBelongs) const
{
    std::vector<InstanceId> owners;
    for (const auto& [name, member] : m_members) {
        if (member.region == region && isAlive(member) && !member.draining)
            owners.push_back(name);
    }
    if (selfBelongs)
        owners.push_back(m_self);
    return owners;
}

void PeerTable::backOff(const InstanceId& instance, Duration time)
{
    if (const auto it = m_members.find(instance); it != m_members.end())
        it->second.backOffUntil = m_clock.now() + time;
}

void PeerTable::onHopStarted(const InstanceId& instance)
{
    if (const auto it = m_members.find(instance); it != m_members.end())
        ++it->second.unreportedHops;
}

// The end may be that of a hop which a heartbeat has shown meanwhile: one that is in progress then counts
// for nothing until the next heartbeat.
void PeerTable::onHopEnded(const InstanceId& instance)
{
    const auto it = m_members.find(instance);
    if (it != m_members.end() && it->second.unreportedHops > 0)
        --it->second.unreportedHops;
}

std::vector<InstanceId> PeerTable::expire()
{
    std::vector<InstanceId> gone;
    const auto oldest = m_clock.now() - forgetAfter;
    std::erase_if(m_members, [&](const auto& entry) {
        if (entry.second.lastHeartbeatAt >= oldest)
            return false;
        gone.push_back(entry.first);
        m_names.erase(entry.second.instanceHash);
        return true;
    });
    return gone;
}

} // namespace yuccashift
