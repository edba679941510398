#include "yuccashift/membership/coordinator.hpp"

#include "yuccashift/kernel/random.hpp"
#include "yuccashift/membership/exchange.hpp"
#include "yuccashift/membership/load_group.hpp"
#include "yuccashift/membership/packed_loads.hpp"
#include "yuccashift/membership/region_links.hpp"
#include "yuccashift/ports/listing.hpp"
#include "yuccashift/resilience/quarantine.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    // Heartbeats in a row that name the sender's addresses when someone new is about.
    constexpr std::uint64_t introductions = 3;
    // After that one in so many does, for those who missed the first.
    constexpr std::uint64_t introduceEvery = 16;
    constexpr std::size_t askableElsewhere = 3;
    // Suspicion takes several heartbeats, so that one lost frame is no sign of anything.
    constexpr int missedHeartbeats = 4;

    // Empty lists are left off the wire.
    void markPresent(wire::Heartbeat& heartbeat)
    {
        heartbeat.__isset.revisions = !heartbeat.revisions.empty();
        heartbeat.__isset.loads = !heartbeat.loads.empty();
        heartbeat.__isset.summaries = !heartbeat.summaries.empty();
        heartbeat.__isset.demands = !heartbeat.demands.empty();
        heartbeat.__isset.quarantine = !heartbeat.quarantine.empty();
        heartbeat.__isset.members = !heartbeat.members.empty();
        heartbeat.__isset.regionDemands = !heartbeat.regionDemands.empty();
    }

    wire::Frame heartbeatFrame(wire::Heartbeat heartbeat)
    {
        markPresent(heartbeat);
        wire::Frame frame;
        frame.heartbeat = std::move(heartbeat);
        frame.__isset.heartbeat = true;
        return frame;
    }

    wire::QuarantineEntry toWire(const CrashRecord& record)
    {
        wire::QuarantineEntry entry;
        entry.fingerprint = static_cast<std::int64_t>(record.fingerprint);
        entry.backend = static_cast<std::int64_t>(record.backend);
        entry.crashes = 1;
        entry.death = static_cast<std::int64_t>(record.crashId);
        entry.remainingMs = static_cast<std::int32_t>(toMilliseconds(record.remaining));
        return entry;
    }

    std::vector<wire::QuarantineEntry> toWire(const std::vector<CrashRecord>& records)
    {
        std::vector<wire::QuarantineEntry> entries;
        entries.reserve(records.size());
        for (const auto& record : records)
            entries.push_back(toWire(record));
        return entries;
    }

    CrashRecord fromWire(const wire::QuarantineEntry& entry)
    {
        return { static_cast<std::uint64_t>(entry.fingerprint), static_cast<std::uint64_t>(entry.backend), milliseconds(entry.remainingMs), static_cast<std::uint64_t>(entry.death) };
    }

} // namespace

Coordinator::Coordinator(MemberInfo self, DocumentStore& store, CoordinatorHooks hooks, std::unique_ptr<RandomSource> random, CoordinatorTiming timing)
    : m_hooks(hooks)
    , m_random(std::move(random))
    , m_timing(timing)
    , m_table(std::move(self), timing.membership)
    , m_spread(store, *m_random, timing.spread)
    , m_introduceUntil(introductions)
{
    publishView();
}

Coordinator::~Coordinator() = default;

OutgoingFrames Coordinator::tick(Instant now)
{
    const std::lock_guard lock(m_mutex);
    if (m_pauses.resumedFromPause(now))
        onPauseEnd(now);
    m_table.refresh(now);
    m_relay.expire(now);
    OutgoingFrames out;
    m_spread.tick(spreadPeers(), now, out);
    beatRegion(now, out);
    beatLoads(now, out);
    beatOtherRegions(now, out);
    noticeOtherRegions(now, out);
    publishView();
    return out;
}

void Coordinator::onPauseEnd(Instant now)
{
    // Others may have taken over roles and changed documents meanwhile; nothing
    // held before the pause is acted on until someone has been heard again.
    m_table.discardHeartbeats(now);
    m_spread.doubtAll();
    m_confirmed = false;
    m_nextRegion = now;
    m_nextCross = now;
}

const SpreadPeers& Coordinator::spreadPeers()
{
    if (m_peersGeneration == m_table.generation())
        return m_peers;
    m_peersGeneration = m_table.generation();
    const auto& self = m_table.self();
    m_peers = { self.instance, m_table.liveInRegion(), m_table.candidates(self.region), m_table.hasListing() };
    std::size_t elsewhere = 0;
    for (const auto& region : m_table.otherRegions()) {
        const auto candidates = m_table.candidates(region);
        if (candidates.empty() || ++elsewhere > askableElsewhere)
            continue;
        m_peers.askable.push_back(candidates.front());
    }
    return m_peers;
}

OutgoingFrames Coordinator::receive(const InstanceId& from, const wire::Frame& frame, Instant now)
{
    const std::lock_guard lock(m_mutex);
    OutgoingFrames out;
    if (frame.__isset.heartbeat)
        onHeartbeat(from, frame.heartbeat, now, out);
    if (frame.__isset.documentPull)
        m_spread.onPull(from, frame.documentPull, now, out);
    if (frame.__isset.documentPush)
        m_spread.onPush(from, frame.documentPush, spreadPeers(), now, out);
    return out;
}

void Coordinator::onHeartbeat(const InstanceId& from, const wire::Heartbeat& heartbeat, Instant now, OutgoingFrames& out)
{
    const auto info = fromWire(heartbeat.sender);
    // The link has proved who it is; a heartbeat in another name is damage or an attack.
    if (info.instance != from)
        return;
    const auto* known = m_table.find(from);
    const bool isNew = known == nullptr || known->info.incarnation < info.incarnation;
    const HeartbeatStatus mark { static_cast<std::uint64_t>(heartbeat.sequence), static_cast<std::uint64_t>(heartbeat.revisionDigest), heartbeat.ready };
    if (known != nullptr && info.incarnation < known->info.incarnation)
        answerReplaced(*known, now, out);
    if (!m_table.onHeartbeat(info, mark, now))
        return;
    if (isNew)
        m_introduceUntil = m_sequence + introductions;
    m_confirmed = true;
    const bool sameRegion = m_table.find(from)->info.region == m_table.self().region;
    m_spread.onHeartbeat(from, heartbeat, now);
    for (const auto& member : heartbeat.members)
        m_table.onRelayed(fromWire(member), !sameRegion, now);
    takeExchanges(from, heartbeat, sameRegion, now);
}

void Coordinator::answerReplaced(const MemberState& member, Instant now, OutgoingFrames& out)
{
    // An earlier start that woke up, or a later one whose wall clock was set
    // back: either has to learn that its heartbeats are not taken.
    wire::Heartbeat heartbeat;
    heartbeat.sequence = static_cast<std::int64_t>(++m_sequence);
    heartbeat.sender = toWire(m_table.self());
    heartbeat.members.push_back(toWire(member.info));
    m_spread.fill(heartbeat, 0, now);
    out.push_back({ member.info.instance, heartbeatFrame(std::move(heartbeat)) });
}

void Coordinator::takeExchanges(const InstanceId& from, const wire::Heartbeat& heartbeat, bool sameRegion, Instant now)
{
    if (m_hooks.loads != nullptr && sameRegion)
        m_hooks.loads->onLoads(from, unpackLoads(heartbeat.loads), now);
    const auto summaries = m_relay.take(heartbeat.summaries, !sameRegion, now);
    if (m_hooks.summaries != nullptr)
        m_hooks.summaries->onSummaries(summaries, now);
    if (m_hooks.demands != nullptr && sameRegion)
        m_hooks.demands->onDemands(from, heartbeat.demands, now);
    for (const auto& demand : heartbeat.regionDemands) {
        if (m_relay.take(demand, !sameRegion, now) && m_hooks.demands != nullptr)
            m_hooks.demands->onRegionDemands(demand.region, demand.demands, milliseconds(demand.ageMs), now);
    }
    std::vector<CrashRecord> records;
    for (const auto& entry : heartbeat.quarantine)
        records.push_back(fromWire(entry));
    if (m_hooks.quarantine != nullptr)
        m_hooks.quarantine->merge(records, now, !sameRegion);
}

void Coordinator::onListing(const Listing& listing, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_table.onListing(listing, now);
    publishView();
}

Result<Acceptance> Coordinator::offer(std::string text, const ServiceName& publishedAs, Instant now, OutgoingFrames& out)
{
    const std::lock_guard lock(m_mutex);
    return m_spread.offer(std::move(text), publishedAs, spreadPeers(), now, out);
}

void Coordinator::setDraining()
{
    const std::lock_guard lock(m_mutex);
    m_table.drainSelf();
    m_introduceUntil = m_sequence + introductions;
    m_nextRegion = {};
    m_nextCross = {};
    publishView();
}

void Coordinator::beatRegion(Instant now, OutgoingFrames& out)
{
    if (now < m_nextRegion)
        return;
    const auto receivers = m_table.reachable(m_table.self().region);
    const auto size = receivers.size() + 1;
    const auto interval = heartbeatInterval(size);
    m_table.setSuspectAfter(std::max(m_timing.membership.suspectAfter, interval * missedHeartbeats));
    m_nextRegion = now + interval;
    const auto frame = heartbeatFrame(makeRegionHeartbeat(regionBudget(size), now));
    for (const auto& to : receivers)
        out.push_back({ to, frame });
}

void Coordinator::beatLoads(Instant now, OutgoingFrames& out)
{
    if (m_hooks.loads == nullptr || now < m_nextLoads)
        return;
    const auto& self = m_table.self();
    const auto receivers = loadGroupPeers(self.instance, self.region, m_table.liveInRegion());
    if (receivers.empty())
        return;
    const auto loads = m_hooks.loads->takeLoads(now, maxPackedLoads);
    if (loads.empty())
        return;
    auto heartbeat = makeHeartbeat(0, now);
    heartbeat.loads = packLoads(loads);
    m_nextLoads = now + loadReportInterval(receivers.size(), heartbeatBaseBytes + heartbeat.loads.size());
    const auto frame = heartbeatFrame(std::move(heartbeat));
    for (const auto& to : receivers)
        out.push_back({ to, frame });
}

void Coordinator::beatOtherRegions(Instant now, OutgoingFrames& out)
{
    if (now < m_nextCross)
        return;
    m_nextCross = now + m_timing.crossRegionInterval;
    ++m_crossRound;
    sendAcross(makeCrossHeartbeat(crossRegionBudget(), now), SenderSelection::RoundRobin, out);
}

void Coordinator::noticeOtherRegions(Instant now, OutgoingFrames& out)
{
    // Counted, not timed: a document may be accepted by the clock reading of a
    // thread that waited while another one sent heartbeats of a later moment.
    if (now - m_lastNotice < m_timing.noticeInterval || m_spread.changes() == m_noticedChanges)
        return;
    m_lastNotice = now;
    m_noticedChanges = m_spread.changes();
    sendAcross(makeHeartbeat(crossRegionBudget().revisions, now), SenderSelection::All, out);
}

void Coordinator::sendAcross(const wire::Heartbeat& heartbeat, SenderSelection turn, OutgoingFrames& out)
{
    const auto& self = m_table.self();
    const auto live = m_table.liveInRegion();
    for (const auto& region : m_table.otherRegions()) {
        const auto to = selectCrossRegionReceiver(self.instance, self.region, region, live, m_table.candidates(region), m_crossRound, turn);
        if (to)
            out.push_back({ *to, heartbeatFrame(heartbeat) });
    }
}

wire::Heartbeat Coordinator::makeHeartbeat(std::size_t revisions, Instant now)
{
    wire::Heartbeat heartbeat;
    heartbeat.sequence = static_cast<std::int64_t>(++m_sequence);
    const bool introduce = m_sequence <= m_introduceUntil || m_sequence % introduceEvery == 0;
    if (introduce) {
        heartbeat.sender = toWire(m_table.self());
    } else {
        heartbeat.sender.instance = m_table.self().instance;
        heartbeat.sender.incarnation = static_cast<std::int64_t>(m_table.self().incarnation);
        if (m_table.self().draining)
            heartbeat.sender.__set_draining(true);
    }
    m_spread.fill(heartbeat, revisions, now);
    return heartbeat;
}

wire::Heartbeat Coordinator::makeRegionHeartbeat(const HeartbeatBudget& budget, Instant now)
{
    auto heartbeat = makeHeartbeat(budget.revisions, now);
    heartbeat.summaries = m_relay.takeSummaries(budget.summaries, now);
    if (m_hooks.demands != nullptr)
        heartbeat.demands = m_hooks.demands->takeDemands(now, budget.demands);
    heartbeat.regionDemands = m_relay.takeDemands(budget.regionDemands, now);
    if (m_hooks.quarantine != nullptr)
        heartbeat.quarantine = toWire(m_hooks.quarantine->takeRecordsForHeartbeat(now, budget.quarantine));
    for (const auto& member : m_table.takeUpdates(budget.members))
        heartbeat.members.push_back(toWire(member));
    return heartbeat;
}

wire::Heartbeat Coordinator::makeCrossHeartbeat(const HeartbeatBudget& budget, Instant now)
{
    auto heartbeat = makeHeartbeat(budget.revisions, now);
    // The receiver may never have heard of this instance.
    heartbeat.sender = toWire(m_table.self());
    if (m_hooks.summaries != nullptr) {
        heartbeat.summaries = m_hooks.summaries->ownSummaries(now);
        heartbeat.summaries.resize(std::min(heartbeat.summaries.size(), budget.summaries));
    }
    if (m_hooks.demands != nullptr) {
        wire::RegionDemand demand;
        demand.region = m_table.self().region;
        demand.demands = m_hooks.demands->regionDemands(now, budget.regionDemands);
        heartbeat.regionDemands.push_back(std::move(demand));
    }
    if (m_hooks.quarantine != nullptr)
        heartbeat.quarantine = toWire(m_hooks.quarantine->newestRecords(now, budget.quarantine));
    // Twice the time in which either speaker of a pair has its turn, so that one lost frame does not hide a change.
    const auto since = now - m_timing.crossRegionInterval * 4;
    for (const auto& member : m_table.changedSince(since, budget.members))
        heartbeat.members.push_back(toWire(member));
    return heartbeat;
}

void Coordinator::publishView()
{
    const bool current = m_view && m_viewGeneration == m_table.generation() && m_view->confirmed == m_confirmed && m_view->pauseGeneration == m_pauses.pauseCount();
    if (current)
        return;
    m_viewGeneration = m_table.generation();
    auto view = std::make_shared<MemberView>();
    view->members = m_table.members();
    view->liveInRegion = m_table.liveInRegion();
    view->confirmed = m_confirmed;
    view->pauseGeneration = m_pauses.pauseCount();
    m_view = std::move(view);
}

MemberViewPtr Coordinator::view() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

MinterBelief Coordinator::minterState(const InstanceId& instance) const
{
    const auto current = view();
    const auto it = current->members.find(instance);
    if (it == current->members.end())
        return {};
    MinterBelief belief;
    if (it->second.info.incarnation != 0)
        belief.incarnation = it->second.info.incarnation;
    return belief;
}

MemberInfo Coordinator::self() const
{
    const std::lock_guard lock(m_mutex);
    return m_table.self();
}

bool Coordinator::ready() const
{
    const std::lock_guard lock(m_mutex);
    return m_spread.ready();
}

bool Coordinator::superseded() const
{
    const std::lock_guard lock(m_mutex);
    return m_table.superseded();
}

std::optional<Instant> Coordinator::regionHeardAt(const RegionName& region) const
{
    const std::lock_guard lock(m_mutex);
    return m_relay.heardAt(region);
}

} // namespace yuccashift
