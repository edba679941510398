#include "yuccashift/membership/member_table.hpp"

#include "peer_types.h"
#include "yuccashift/ports/listing.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace yuccashift {

namespace {

    // Number of heartbeats that relay a change. Each goes to the whole region; the additional ones make up for lost ones.
    constexpr std::uint32_t relaysPerChange = 3;

    // Updates the member's region, data centre and addresses; returns whether any of them changed.
    bool updateLocation(MemberState& member, const MemberInfo& info)
    {
        const auto locationOf = [](const MemberInfo& it) { return std::tie(it.region, it.datacentre, it.callers.host, it.callers.port, it.peers.host, it.peers.port); };
        if (locationOf(member.info) == locationOf(info))
            return false;
        member.info.region = info.region;
        member.info.datacentre = info.datacentre;
        member.info.callers = info.callers;
        member.info.peers = info.peers;
        return true;
    }

} // namespace

std::string_view toString(Liveness liveness)
{
    switch (liveness) {
    case Liveness::Alive:
        return "alive";
    case Liveness::Suspect:
        return "suspect";
    case Liveness::Draining:
        return "draining";
    case Liveness::Leaving:
        return "leaving";
    case Liveness::Gone:
        break;
    }
    return "gone";
}

MemberTable::MemberTable(MemberInfo self, MembershipTiming timing)
    : m_self(std::move(self))
    , m_timing(timing)
{
}

MemberState* MemberTable::findOrAdd(const InstanceId& instance, Instant now)
{
    const auto it = m_members.find(instance);
    if (it != m_members.end())
        return &it->second;
    if (instance.empty() || m_members.size() >= maxMembers)
        return nullptr;
    ++m_generation;
    auto& member = m_members[instance];
    member.info.instance = instance;
    member.knownAt = now;
    member.changedAt = now;
    return &member;
}

bool MemberTable::update(MemberState& member, const MemberInfo& info, Instant now)
{
    if (info.incarnation < member.info.incarnation)
        return false;
    const bool newIncarnation = info.incarnation > member.info.incarnation;
    if (newIncarnation) {
        member.info.incarnation = info.incarnation;
        member.info.draining = false;
        member.sequence = 0;
        member.ready = false;
    }
    // Draining is final within one incarnation, so a late message cannot revert it.
    const bool newlyDraining = info.draining && !member.info.draining;
    member.info.draining = member.info.draining || info.draining;
    if (!info.region.empty())
        m_generation += updateLocation(member, info) ? 1 : 0;
    if (!newIncarnation && !newlyDraining)
        return false;
    ++m_generation;
    member.changedAt = now;
    return true;
}

bool MemberTable::onHeartbeat(const MemberInfo& info, const HeartbeatStatus& mark, Instant now)
{
    if (info.instance == m_self.instance)
        return false;
    const bool known = m_members.contains(info.instance);
    if (!known && info.region.empty())
        return false;
    auto* member = findOrAdd(info.instance, now);
    if (member == nullptr || info.incarnation < member->info.incarnation)
        return false;
    update(*member, info, now);
    if (mark.sequence <= member->sequence)
        return false;
    member->sequence = mark.sequence;
    member->revisionDigest = mark.revisionDigest;
    m_generation += member->ready != mark.ready ? 1 : 0;
    member->ready = mark.ready;
    member->lastHeartbeatAt = now;
    setLiveness(*member, now);
    return true;
}

bool MemberTable::onRelayed(const MemberInfo& info, bool relay, Instant now)
{
    if (info.instance == m_self.instance) {
        m_superseded = m_superseded || info.incarnation > m_self.incarnation;
        return false;
    }
    const bool known = m_members.contains(info.instance);
    if (!known && info.region.empty())
        return false;
    auto* member = findOrAdd(info.instance, now);
    if (member == nullptr)
        return false;
    const bool changed = update(*member, info, now);
    if (changed && relay)
        member->relaysLeft = relaysPerChange;
    setLiveness(*member, now);
    return changed;
}

void MemberTable::onListing(const InstanceListing& listing, Instant now)
{
    m_generation += m_hasListing ? 0 : 1;
    m_hasListing = true;
    for (auto& [instance, member] : m_members)
        member.listed = false;
    for (const auto& listed : listing.instances) {
        if (listed.instance == m_self.instance)
            continue;
        auto* member = findOrAdd(listed.instance, now);
        if (member == nullptr)
            continue;
        member->listed = true;
        member->listedLeaving = listed.leaving;
        member->knownAt = now;
        // The list lags behind, so what an instance reports about itself takes precedence.
        if (member->info.incarnation == 0)
            m_generation += updateLocation(*member, { {}, 0, listed.region, listed.datacentre, listed.callerEndpoint, listed.peerEndpoint, false }) ? 1 : 0;
    }
    refresh(now);
}

Liveness MemberTable::evaluateLiveness(const MemberState& member, Instant now) const
{
    const auto lastSeen = std::max(member.lastHeartbeatAt.value_or(member.knownAt), member.knownAt);
    if (!member.listed && m_hasListing && now - lastSeen >= m_timing.goneAfter)
        return Liveness::Gone;
    if (member.info.draining)
        return Liveness::Draining;
    if (member.listedLeaving)
        return Liveness::Leaving;
    // Most members of other regions send no heartbeats to this instance; the list and their region's summaries show
    // whether they run.
    if (member.info.region != m_self.region)
        return Liveness::Alive;
    const bool heard = member.lastHeartbeatAt && now - *member.lastHeartbeatAt < m_timing.suspectAfter;
    return heard ? Liveness::Alive : Liveness::Suspect;
}

void MemberTable::setLiveness(MemberState& member, Instant now)
{
    const auto liveness = evaluateLiveness(member, now);
    if (liveness == member.liveness)
        return;
    member.liveness = liveness;
    ++m_generation;
}

void MemberTable::refresh(Instant now)
{
    for (auto it = m_members.begin(); it != m_members.end();) {
        auto& member = it->second;
        setLiveness(member, now);
        const auto lastSeen = std::max(member.lastHeartbeatAt.value_or(member.knownAt), member.knownAt);
        const bool forgotten = member.liveness == Liveness::Gone && now - lastSeen >= m_timing.forgetAfter;
        m_generation += forgotten ? 1 : 0;
        it = forgotten ? m_members.erase(it) : std::next(it);
    }
}

void MemberTable::drainSelf()
{
    m_self.draining = true;
    ++m_generation;
}

void MemberTable::discardHeartbeats(Instant now)
{
    for (auto& [instance, member] : m_members) {
        member.lastHeartbeatAt.reset();
        // The time for which this process was paused does not count as silence of other instances.
        member.knownAt = now;
    }
    refresh(now);
}

const MemberState* MemberTable::find(const InstanceId& instance) const
{
    const auto it = m_members.find(instance);
    return it == m_members.end() ? nullptr : &it->second;
}

template <typename Predicate>
std::vector<InstanceId> MemberTable::select(const RegionName& region, Predicate&& predicate) const
{
    std::vector<InstanceId> instances;
    for (const auto& [instance, member] : m_members) {
        if (member.info.region == region && predicate(member.liveness))
            instances.push_back(instance);
    }
    return instances;
}

std::vector<InstanceId> MemberTable::reachable(const RegionName& region) const
{
    return select(region, [](Liveness liveness) { return liveness != Liveness::Gone; });
}

std::vector<InstanceId> MemberTable::candidates(const RegionName& region) const
{
    return select(region, [](Liveness liveness) { return liveness == Liveness::Alive || liveness == Liveness::Suspect; });
}

std::vector<InstanceId> MemberTable::liveInRegion() const
{
    auto instances = select(m_self.region, [](Liveness liveness) { return liveness == Liveness::Alive; });
    if (!m_self.draining)
        instances.push_back(m_self.instance);
    return instances;
}

std::vector<RegionName> MemberTable::otherRegions() const
{
    std::set<RegionName> regions;
    for (const auto& [instance, member] : m_members) {
        if (member.info.region != m_self.region && member.liveness != Liveness::Gone)
            regions.insert(member.info.region);
    }
    regions.erase("");
    return { regions.begin(), regions.end() };
}

std::vector<MemberInfo> MemberTable::takeUpdates(std::size_t limit)
{
    std::vector<MemberInfo> updates;
    for (auto& [instance, member] : m_members) {
        if (updates.size() >= limit)
            break;
        if (member.relaysLeft == 0)
            continue;
        --member.relaysLeft;
        updates.push_back(member.info);
    }
    return updates;
}

std::vector<MemberInfo> MemberTable::changedSince(Instant since, std::size_t limit) const
{
    std::vector<MemberInfo> changed;
    for (const auto& [instance, member] : m_members) {
        if (changed.size() >= limit)
            break;
        if (member.changedAt >= since && member.info.incarnation != 0)
            changed.push_back(member.info);
    }
    return changed;
}

wire::Member toWire(const MemberInfo& info)
{
    wire::Member member;
    member.instance = info.instance;
    member.incarnation = static_cast<std::int64_t>(info.incarnation);
    member.__set_region(info.region);
    member.__set_datacentre(info.datacentre);
    if (info.callers.port != 0)
        member.__set_callerEndpoint(toString(info.callers));
    if (info.peers.port != 0)
        member.__set_peerEndpoint(toString(info.peers));
    if (info.draining)
        member.__set_draining(true);
    return member;
}

MemberInfo fromWire(const wire::Member& member)
{
    MemberInfo info { member.instance, static_cast<Incarnation>(member.incarnation), member.region, member.datacentre, {}, {}, member.__isset.draining && member.draining };
    parseEndpoint(member.callerEndpoint, info.callers);
    parseEndpoint(member.peerEndpoint, info.peers);
    return info;
}

} // namespace yuccashift
