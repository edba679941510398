#include "yuccashift/membership/coordinator.hpp"

#include "yuccashift/kernel/random.hpp"
#include "yuccashift/membership/exchange.hpp"
#include "yuccashift/membership/load_group.hpp"
#include "yuccashift/membership/packed_loads.hpp"
#include "yuccashift/membership/region_links.hpp"
#include "yuccashift/ports/listing.hpp"
#include "yuccashift/resilience/prompt_evidence_codec.hpp"
#include "yuccashift/resilience/quarantine.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    // Number of consecutive heartbeats that carry the sender's addresses after it has heard a new instance.
    constexpr std::uint64_t introductionCount = 3;
    // After that, one heartbeat in this many carries them, for instances that missed the first ones.
    constexpr std::uint64_t introductionPeriod = 16;
    // Number of other regions of which one instance each may be asked for documents at the start.
    constexpr std::size_t maxAskableRegions = 3;
    // A member becomes suspect only after this many missed heartbeats, so that a single lost frame has no effect.
    constexpr int missedHeartbeatLimit = 4;

    // Empty lists are not sent.
    void markPresent(wire::Heartbeat& heartbeat)
    {
        heartbeat.__isset.revisions = !heartbeat.revisions.empty();
        heartbeat.__isset.loads = !heartbeat.loads.empty();
        heartbeat.__isset.summaries = !heartbeat.summaries.empty();
        heartbeat.__isset.demands = !heartbeat.demands.empty();
        heartbeat.__isset.quarantine = !heartbeat.quarantine.empty();
        heartbeat.__isset.served = !heartbeat.served.empty();
        heartbeat.__isset.promptLosses = !heartbeat.promptLosses.empty();
        heartbeat.__isset.partSuccesses = !heartbeat.partSuccesses.empty();
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

    std::vector<wire::ServedEntry> toWire(const std::vector<ServedRecord>& records)
    {
        std::vector<wire::ServedEntry> entries;
        entries.reserve(records.size());
        for (const auto& record : records) {
            auto& entry = entries.emplace_back();
            entry.fingerprint = static_cast<std::int64_t>(record.fingerprint);
            entry.agoMs = static_cast<std::int32_t>(toMilliseconds(record.ago));
        }
        return entries;
    }

    std::vector<ServedRecord> fromWire(const std::vector<wire::ServedEntry>& entries)
    {
        std::vector<ServedRecord> records;
        records.reserve(entries.size());
        for (const auto& entry : entries)
            records.push_back({ static_cast<std::uint64_t>(entry.fingerprint), milliseconds(entry.agoMs) });
        return records;
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
    , m_configDistributor(store, *m_random, timing.configDistribution)
    , m_introduceUntil(introductionCount)
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
    m_configDistributor.tick(configPeers(), now, out);
    sendRegionHeartbeats(now, out);
    sendLoads(now, out);
    sendCrossRegionHeartbeats(now, out);
    notifyOtherRegions(now, out);
    publishView();
    return out;
}

void Coordinator::onPauseEnd(Instant now)
{
    // Other instances may have taken over roles and changed documents during the pause, so nothing known from
    // before it is acted on until another instance has been heard again.
    m_table.discardHeartbeats(now);
    m_configDistributor.clearPendingPulls();
    m_confirmed = false;
    m_nextRegionHeartbeat = now;
    m_nextCrossRegionHeartbeat = now;
}

const ConfigPeers& Coordinator::configPeers()
{
    if (m_peersGeneration == m_table.generation())
        return m_peers;
    m_peersGeneration = m_table.generation();
    const auto& self = m_table.self();
    m_peers = { self.instance, m_table.liveInRegion(), m_table.candidates(self.region), m_table.hasListing() };
    std::size_t regionCount = 0;
    for (const auto& region : m_table.otherRegions()) {
        const auto candidates = m_table.candidates(region);
        if (candidates.empty() || ++regionCount > maxAskableRegions)
            continue;
        m_peers.startupPeers.push_back(candidates.front());
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
        m_configDistributor.onPull(from, frame.documentPull, now, out);
    if (frame.__isset.documentPush)
        m_configDistributor.onPush(from, frame.documentPush, configPeers(), now, out);
    return out;
}

void Coordinator::onHeartbeat(const InstanceId& from, const wire::Heartbeat& heartbeat, Instant now, OutgoingFrames& out)
{
    const auto info = fromWire(heartbeat.sender);
    // The connection has authenticated `from`, so a heartbeat that names another sender is damaged or forged.
    if (info.instance != from)
        return;
    const auto* known = m_table.find(from);
    const bool isNew = known == nullptr || known->info.incarnation < info.incarnation;
    const HeartbeatStatus mark { static_cast<std::uint64_t>(heartbeat.sequence), static_cast<std::uint64_t>(heartbeat.revisionDigest), heartbeat.ready };
    if (known != nullptr && info.incarnation < known->info.incarnation)
        answerEarlierIncarnation(*known, now, out);
    if (!m_table.onHeartbeat(info, mark, now))
        return;
    if (isNew)
        m_introduceUntil = m_sequence + introductionCount;
    m_confirmed = true;
    const bool sameRegion = m_table.find(from)->info.region == m_table.self().region;
    m_configDistributor.onHeartbeat(from, heartbeat, now);
    for (const auto& member : heartbeat.members)
        m_table.onRelayed(fromWire(member), !sameRegion, now);
    applyExchanges(from, heartbeat, sameRegion, now);
}

void Coordinator::answerEarlierIncarnation(const MemberState& member, Instant now, OutgoingFrames& out)
{
    // The sender is an earlier start that resumed after a pause, or a later one whose wall clock was set back. In
    // both cases it has to learn that its heartbeats are ignored.
    wire::Heartbeat heartbeat;
    heartbeat.sequence = static_cast<std::int64_t>(++m_sequence);
    heartbeat.sender = toWire(m_table.self());
    heartbeat.members.push_back(toWire(member.info));
    m_configDistributor.fillHeartbeat(heartbeat, 0, now);
    out.push_back({ member.info.instance, heartbeatFrame(std::move(heartbeat)) });
}

void Coordinator::applyExchanges(const InstanceId& from, const wire::Heartbeat& heartbeat, bool sameRegion, Instant now)
{
    if (m_hooks.loads != nullptr && sameRegion)
        m_hooks.loads->onLoads(from, unpackLoads(heartbeat.loads), now);
    const auto summaries = m_relay.acceptSummaries(heartbeat.summaries, !sameRegion, now);
    if (m_hooks.summaries != nullptr)
        m_hooks.summaries->onSummaries(summaries, now);
    if (m_hooks.demands != nullptr && sameRegion)
        m_hooks.demands->onDemands(from, heartbeat.demands, now);
    for (const auto& demand : heartbeat.regionDemands) {
        if (m_relay.acceptDemand(demand, !sameRegion, now) && m_hooks.demands != nullptr)
            m_hooks.demands->onRegionDemands(demand.region, demand.demands, milliseconds(demand.ageMs), now);
    }
    std::vector<CrashRecord> records;
    for (const auto& entry : heartbeat.quarantine)
        records.push_back(fromWire(entry));
    if (m_hooks.quarantine != nullptr) {
        m_hooks.quarantine->merge(records, now, !sameRegion);
        m_hooks.quarantine->mergeServed(fromWire(heartbeat.served), now, !sameRegion);
    }
    if (m_hooks.promptQuarantine != nullptr)
        m_hooks.promptQuarantine->merge(promptEvidenceOf(heartbeat), now, !sameRegion);
}

void Coordinator::onListing(const InstanceListing& listing, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_table.onListing(listing, now);
    publishView();
}

Result<Acceptance> Coordinator::offer(std::string text, const ServiceName& publishedAs, Instant now, OutgoingFrames& out)
{
    const std::lock_guard lock(m_mutex);
    return m_configDistributor.offer(std::move(text), publishedAs, configPeers(), now, out);
}

void Coordinator::setDraining()
{
    const std::lock_guard lock(m_mutex);
    m_table.drainSelf();
    m_introduceUntil = m_sequence + introductionCount;
    m_nextRegionHeartbeat = {};
    m_nextCrossRegionHeartbeat = {};
    publishView();
}

void Coordinator::sendRegionHeartbeats(Instant now, OutgoingFrames& out)
{
    if (now < m_nextRegionHeartbeat)
        return;
    const auto receivers = m_table.reachable(m_table.self().region);
    const auto regionMembers = receivers.size() + 1;
    const auto interval = heartbeatInterval(regionMembers);
    m_table.setSuspectAfter(std::max(m_timing.membership.suspectAfter, interval * missedHeartbeatLimit));
    m_nextRegionHeartbeat = now + interval;
    const auto frame = heartbeatFrame(makeRegionHeartbeat(regionBudget(regionMembers), now));
    for (const auto& to : receivers)
        out.push_back({ to, frame });
}

void Coordinator::sendLoads(Instant now, OutgoingFrames& out)
{
    if (m_hooks.loads == nullptr || now < m_nextLoadReport)
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
    m_nextLoadReport = now + loadReportInterval(receivers.size(), heartbeatBaseBytes + heartbeat.loads.size());
    const auto frame = heartbeatFrame(std::move(heartbeat));
    for (const auto& to : receivers)
        out.push_back({ to, frame });
}

void Coordinator::sendCrossRegionHeartbeats(Instant now, OutgoingFrames& out)
{
    if (now < m_nextCrossRegionHeartbeat)
        return;
    m_nextCrossRegionHeartbeat = now + m_timing.crossRegionInterval;
    ++m_crossRegionRound;
    sendToOtherRegions(makeCrossRegionHeartbeat(crossRegionBudget(), now), SenderSelection::RoundRobin, out);
}

void Coordinator::notifyOtherRegions(Instant now, OutgoingFrames& out)
{
    // Compares a counter and not times: a thread may accept a document with a clock reading that it took before it
    // waited for the lock, while another thread has sent heartbeats with a later reading.
    if (now - m_lastNotification < m_timing.noticeInterval || m_configDistributor.changeCount() == m_notifiedChanges)
        return;
    m_lastNotification = now;
    m_notifiedChanges = m_configDistributor.changeCount();
    sendToOtherRegions(makeHeartbeat(crossRegionBudget().revisions, now), SenderSelection::All, out);
}

void Coordinator::sendToOtherRegions(const wire::Heartbeat& heartbeat, SenderSelection turn, OutgoingFrames& out)
{
    const auto& self = m_table.self();
    const auto live = m_table.liveInRegion();
    for (const auto& region : m_table.otherRegions()) {
        const auto to = selectCrossRegionReceiver(self.instance, self.region, region, live, m_table.candidates(region), m_crossRegionRound, turn);
        if (to)
            out.push_back({ *to, heartbeatFrame(heartbeat) });
    }
}

wire::Heartbeat Coordinator::makeHeartbeat(std::size_t revisions, Instant now)
{
    wire::Heartbeat heartbeat;
    heartbeat.sequence = static_cast<std::int64_t>(++m_sequence);
    const bool introduce = m_sequence <= m_introduceUntil || m_sequence % introductionPeriod == 0;
    if (introduce) {
        heartbeat.sender = toWire(m_table.self());
    } else {
        heartbeat.sender.instance = m_table.self().instance;
        heartbeat.sender.incarnation = static_cast<std::int64_t>(m_table.self().incarnation);
        if (m_table.self().draining)
            heartbeat.sender.__set_draining(true);
    }
    m_configDistributor.fillHeartbeat(heartbeat, revisions, now);
    return heartbeat;
}

wire::Heartbeat Coordinator::makeRegionHeartbeat(const HeartbeatBudget& budget, Instant now)
{
    auto heartbeat = makeHeartbeat(budget.revisions, now);
    heartbeat.summaries = m_relay.takeSummaries(budget.summaries, now);
    if (m_hooks.demands != nullptr)
        heartbeat.demands = m_hooks.demands->takeDemands(now, budget.demands);
    heartbeat.regionDemands = m_relay.takeDemands(budget.regionDemands, now);
    if (m_hooks.quarantine != nullptr) {
        heartbeat.quarantine = toWire(m_hooks.quarantine->takeRecordsForHeartbeat(now, budget.quarantine));
        heartbeat.served = toWire(m_hooks.quarantine->takeServedForHeartbeat(now, budget.quarantine));
    }
    if (m_hooks.promptQuarantine != nullptr)
        addPromptEvidence(heartbeat, m_hooks.promptQuarantine->takeForHeartbeat(now, budget.quarantine));
    for (const auto& member : m_table.takeUpdates(budget.members))
        heartbeat.members.push_back(toWire(member));
    return heartbeat;
}

wire::Heartbeat Coordinator::makeCrossRegionHeartbeat(const HeartbeatBudget& budget, Instant now)
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
    if (m_hooks.quarantine != nullptr) {
        heartbeat.quarantine = toWire(m_hooks.quarantine->newestRecords(now, budget.quarantine));
        heartbeat.served = toWire(m_hooks.quarantine->newestServed(now, budget.quarantine));
    }
    if (m_hooks.promptQuarantine != nullptr)
        addPromptEvidence(heartbeat, m_hooks.promptQuarantine->newest(now, budget.quarantine));
    // Both senders of a region pair have their turn within two intervals. Twice that time is covered, so that one lost
    // frame does not hide a change.
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

MinterState Coordinator::minterState(const InstanceId& instance) const
{
    const auto current = view();
    const auto it = current->members.find(instance);
    if (it == current->members.end())
        return {};
    MinterState state;
    if (it->second.info.incarnation != 0)
        state.latestIncarnation = it->second.info.incarnation;
    return state;
}

MemberInfo Coordinator::self() const
{
    const std::lock_guard lock(m_mutex);
    return m_table.self();
}

bool Coordinator::ready() const
{
    const std::lock_guard lock(m_mutex);
    return m_configDistributor.ready();
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
