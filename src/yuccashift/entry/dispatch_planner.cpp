#include "yuccashift/entry/dispatch_planner.hpp"

#include "yuccashift/dispatch/prefix_home.hpp"
#include "yuccashift/dispatch/prefix_servers.hpp"
#include "yuccashift/dispatch/server_sample.hpp"
#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>
#include <limits>

namespace yuccashift {

namespace {

    /** Round trip to another region; the deployments' links take a few dozen milliseconds one way. */
    constexpr Duration regionRoundTrip = milliseconds(116);
    /** Round trip to an instance of the same region. */
    constexpr Duration ownRegionRoundTrip = milliseconds(4);
    /** Queue wait that each forwarded request adds until the other region's heartbeat includes it. */
    constexpr Duration queueWaitPerHop = milliseconds(15);
    /** Factor on the interval between requests to a cold server: for short periods several instances may consider themselves its owner. */
    constexpr double coldIntervalFactor = 2.5;
    constexpr double minColdRate = 0.5;
    /** Share of a server's connection limit that all instances use together; the rest is for probes and newly added instances. */
    constexpr double usableConnectionShare = 0.8;
    /** Lifetime of a measured stream gap. It expires so that a server that has become faster receives requests again. */
    constexpr Duration streamGapLifetime = seconds(3);
    /** Interval in which a request asks again for a slot at a server that has as many requests as it takes. */
    constexpr Duration slotCheckInterval = milliseconds(20);
    /** How often the owners are computed again from the instances that are active. */
    constexpr Duration ownershipInterval = milliseconds(50);
    /** A server that rejects a request as full receives no requests for this time. */
    constexpr Duration fullServerBackOff = milliseconds(120);
    /** Share of the rejections that a brittle server bears which instances risk; the rest is for those that have not heard of it. */
    constexpr double usableRejectionShare = 0.5;
    constexpr double minBearableRejections = 0.2;
    constexpr Duration maxBackOffAfterRefusal = seconds(3);
    /** Share of a brittle server's slots that is used. Its queue, which may be short, is left for what instances do not know of each other. */
    constexpr double usableBrittleSlotShare = 0.9;
    /** Up to this share of its slots, each of a few instances uses as many as it needs. */
    constexpr double freelyUsedBrittleSlotShare = 0.75;
    /** Up to this many instances, heartbeats tell of requests soon enough for that. */
    constexpr std::size_t maxInstancesSharingFreely = 8;
    /** Share of that which a server's owner uses alone; the other instances send it few requests. */
    constexpr double ownerConnectionShare = 0.5;
    /** Servers at which instances look for what heartbeats report of a region. */
    constexpr std::size_t reportedSample = 4;
    /** Share of the servers' capacity that is taken to be in use. Where less is, servers are drawn more evenly than they need be, which costs little. */
    constexpr double assumedUtilisation = 0.8;
    /** A caller loses nothing by a wait within this share of the objective; a prefix that is prefilled again costs all others. */
    constexpr double unconditionalAffinityShare = 0.4;
    /** Extra wait, as a share of the objective, for the servers that hold a prefix: when all are busy, reading again makes all busier. */
    constexpr double rankedWaitShare = 0.25;
    /** The same holds for a request whose objective has passed. */
    constexpr Duration minRankedObjective = milliseconds(400);
    /** Prompt size for which heartbeats report the queue wait. */
    constexpr std::uint32_t typicalPromptTokens = 512;

    std::int32_t freeSlots(const LocalPlan& plan)
    {
        std::int32_t slots = 0;
        for (std::size_t i = 0; i < plan.candidates.size(); ++i) {
            const auto& it = plan.candidates[i];
            if (plan.choice.rejectReasons[i] == ServerRejectReason::None)
                slots += std::max(0, static_cast<std::int32_t>(it.slots) - it.load.requests);
        }
        return slots;
    }

} // namespace

std::string poolKeyOf(const BackendServer& server)
{
    return server.identity.id + "|" + std::to_string(server.identity.startedAtMs) + "|" + toString(server.address);
}

DispatchPlanner::DispatchPlanner(const Clock& clock, const EntrySettings& settings, const FleetState& fleetState, const ServerTracker& serverTracker, const PeerTable& peerTable, RandomSource& random)
    : m_clock(clock)
    , m_settings(settings)
    , m_fleetState(fleetState)
    , m_serverTracker(serverTracker)
    , m_peerTable(peerTable)
    , m_random(random)
{
}

const RegionName* DispatchPlanner::servingRegion(const BackendServer& server) const
{
    const auto region = m_settings.regions.find(server.datacentre);
    if (region == m_settings.regions.end() || server.draining || m_fleetState.evacuated(server.datacentre))
        return nullptr;
    return &region->second;
}

bool DispatchPlanner::isUsableLocally(const BackendServer& server) const
{
    const auto* region = servingRegion(server);
    return region && *region == m_settings.region && !m_serverTracker.constraints().isLeaving(server.identityHash);
}

bool DispatchPlanner::namesOrganisations(const PeerState& peer) const
{
    const auto routes = m_fleetState.routes();
    return peer.namesOrganisations || !routes || !routes->config().identifiesCallers;
}

bool DispatchPlanner::hasReachableInstance(const RegionName& region) const
{
    return region == m_settings.region || std::ranges::any_of(m_peerTable.alive(), [&](const auto* it) { return it->region == region && !it->draining; });
}

std::optional<RegionName> DispatchPlanner::prefixHome(const AllowedRegions& allowed, const ServiceName& service, const WorkSize& work) const
{
    const auto shared = work.sharedParts();
    if (shared.empty())
        return std::nullopt;
    std::map<RegionName, std::size_t> servers;
    for (const auto& [key, server] : m_fleetState.servers()) {
        const auto* region = server.service == service ? servingRegion(server) : nullptr;
        if (region && allowed.allows(*region))
            ++servers[*region];
    }
    std::vector<RegionCapacity> regions;
    for (const auto& [region, count] : servers) {
        if (hasReachableInstance(region))
            regions.push_back({ region, count });
    }
    return prefixHomeRegion(shared.back().id, regions);
}

const ServerOwnership& DispatchPlanner::ownership() const
{
    const auto now = m_clock.now();
    if (m_ownershipUpdatedAt && now - *m_ownershipUpdatedAt < ownershipInterval)
        return m_ownership;
    m_ownershipUpdatedAt = now;
    std::vector<ServerOwnerCandidate> candidates;
    if (!reachesNoServer())
        candidates.push_back({ m_settings.instance, m_settings.datacentre, m_settings.capacityForPeers() });
    for (const auto* peer : m_peerTable.alive()) {
        if (peer->region == m_settings.region && !peer->draining && !peer->reachesNoServer)
            candidates.push_back({ peer->instance, peer->datacentre, peer->capacity });
    }
    if (candidates.empty())
        candidates.push_back({ m_settings.instance, m_settings.datacentre, m_settings.capacityForPeers() });
    m_ownership.setCandidates(std::move(candidates));
    return m_ownership;
}

bool DispatchPlanner::reachesNoServer() const
{
    const auto now = m_clock.now();
    if (m_reachabilityUpdatedAt && now - *m_reachabilityUpdatedAt < ownershipInterval)
        return m_reachesNoServer;
    m_reachabilityUpdatedAt = now;
    const auto routes = m_fleetState.routes();
    std::map<ServiceName, bool> viaOwners;
    m_reachesNoServer = false;
    for (const auto& [key, server] : m_fleetState.servers()) {
        // Nothing is sent to a server whose service no configuration names, so that it never fails.
        if (!isUsableLocally(server) || !routes || !routes->config().names(server.service))
            continue;
        if (m_serverTracker.statusOf(server.identityHash).suspect) {
            m_reachesNoServer = true;
            continue;
        }
        auto it = viaOwners.find(server.service);
        if (it == viaOwners.end())
            it = viaOwners.emplace(server.service, forwardsToOwners(server.service)).first;
        // Of a server that others own, this instance does not know whether it would reach it.
        if (!it->second) {
            m_reachesNoServer = false;
            break;
        }
    }
    return m_reachesNoServer;
}

bool DispatchPlanner::isOwner(const BackendServer& server) const
{
    return ownership().ownerOf(server.identityHash, server.datacentre) == m_settings.instance;
}

bool DispatchPlanner::forwardsToOwners(const ServiceName& service) const
{
    const auto instances = ownership().candidateCount();
    if (instances <= maxInstancesKnowingLoads)
        return false;
    std::size_t slots = 0;
    for (const auto& [key, server] : m_fleetState.servers())
        slots += server.service == service && isUsableLocally(server) ? server.slots : 0;
    return slots < slotsPerInstanceWithoutOwners * instances;
}

bool DispatchPlanner::owns(std::uint64_t hash) const
{
    return std::ranges::any_of(m_fleetState.servers(), [&](const auto& it) {
        const auto& server = it.second;
        return server.identityHash == hash && isOwner(server) && forwardsToOwners(server.service);
    });
}

const PeerState* DispatchPlanner::remoteOwner(const BackendServer& server, const std::set<InstanceId>& excluded) const
{
    if (!forwardsToOwners(server.service))
        return nullptr;
    const auto& owner = ownership().ownerOf(server.identityHash, server.datacentre);
    if (owner == m_settings.instance || excluded.contains(owner))
        return nullptr;
    const auto* peer = m_peerTable.find(owner);
    const bool reachable = peer && m_peerTable.isAlive(*peer) && !peer->draining && m_clock.now() >= peer->backOffUntil && namesOrganisations(*peer);
    return reachable ? peer : nullptr;
}

bool DispatchPlanner::warmUpAllowed(const BackendServer& server, const ServerStatus& known, const ServiceConfig& traits) const
{
    if (!m_peerTable.mayTakeRegionRole(m_settings.region) || !isOwner(server))
        return false;
    const auto spacing = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(coldIntervalFactor / std::max(minColdRate, traits.coldRate)));
    return known.lastColdSend == Instant {} || m_clock.now() - known.lastColdSend >= spacing;
}

bool DispatchPlanner::withinRateLimit(const BackendServer& server, bool viaOwner) const
{
    const auto& constraints = m_serverTracker.constraints();
    const auto limit = constraints.rateLimit(server.identityHash);
    if (!limit)
        return true;
    const auto active = m_peerTable.activeInstancesIn(m_settings.region, true);
    const auto known = m_peerTable.knownInstancesIn(m_settings.region);
    if (!viaOwner)
        return constraints.maySend(server.identityHash, shareOfRateLimit(*limit, server.identityHash, { m_settings.instance, active, known }));
    // The owner keeps the limit for all. The others send it no more than their part, so that it rarely has to refuse.
    const LimitDivision alone { m_settings.instance, std::span(&m_settings.instance, 1), 1 };
    const auto whole = shareOfRateLimit(*limit, server.identityHash, alone);
    return constraints.maySend(server.identityHash, isOwner(server) ? whole : whole / static_cast<double>(known));
}

bool DispatchPlanner::withinBrittleShare(const BackendServer& server, const ServerStatus& known, bool viaOwner) const
{
    // The owner sends all requests, knows their number and decides.
    if (viaOwner && !isOwner(server))
        return true;
    const auto usable = std::max<std::size_t>(1, static_cast<std::size_t>(usableBrittleSlotShare * server.slots));
    const auto total = static_cast<std::size_t>(std::max(0, known.total().requests));
    if (total >= usable)
        return false;
    if (viaOwner)
        return true;
    const auto active = m_peerTable.activeInstancesIn(m_settings.region, true);
    if (active.size() <= maxInstancesSharingFreely && static_cast<double>(total) < freelyUsedBrittleSlotShare * server.slots)
        return true;
    const auto own = static_cast<std::size_t>(std::max(0, known.own.requests));
    if (usable >= active.size())
        return own < usable / active.size();
    const auto chosen = rendezvousTop(server.identityHash, active, usable);
    return own == 0 && std::ranges::find(chosen, m_settings.instance) != chosen.end();
}

ServerCandidate DispatchPlanner::candidate(const BackendServer& server, const ServiceConfig& traits, const WorkSize& work, bool viaOwner) const
{
    const auto now = m_clock.now();
    const auto& known = m_serverTracker.statusOf(server.identityHash);
    ServerCandidate it;
    it.key = server.identityHash;
    it.slots = std::max<std::uint32_t>(1, server.slots);
    it.engine = traits.engine;
    it.memoryTokens = traits.memoryTokens;
    if (const auto* prefixes = m_serverTracker.prefixCacheOf(server.identityHash))
        it.cachedTokens = prefixes->cachedTokens(work.parts);
    it.surelyCachedTokens = it.cachedTokens;
    it.load = known.total();
    if (serversAreShared() && !viaOwner) {
        const auto& observations = m_serverTracker.observations();
        it.slowness = m_serverTracker.sharedSlowness(server.identityHash, traits.engine, work.priority);
        it.failureShare = observations.failureShare(server.identityHash);
        it.outcomeSamples = static_cast<std::uint32_t>(observations.outcomes(server.identityHash));
    } else {
        it.slowness = m_serverTracker.expectedSlowness(server.identityHash, traits.engine, work.priority);
        it.failureShare = known.failureShare;
        it.outcomeSamples = known.outcomeSamples;
    }
    it.prefillTokensAhead = m_serverTracker.prefillTokensAhead(server.identityHash, work.priority);
    it.suspect = known.suspect;
    if (known.ownerReport && now - known.ownerReport->receivedAt < ownerReportLifetime) {
        const auto& report = *known.ownerReport;
        it.suspect = it.suspect || report.suspect;
        if (report.failureShare > 0) {
            it.failureShare = report.failureShare;
            it.outcomeSamples = std::max(it.outcomeSamples, minFailingSamples);
        }
    }
    if (now - known.lastChunkAt < streamGapLifetime)
        it.streamChunkGap = known.streamChunkGap;
    if (known.waitingSince)
        it.oldestWait = now - *known.waitingSince;
    it.fullFor = std::max(Duration::zero(), known.fullUntil - now);
    if (known.atRequestLimit(now))
        it.fullFor = std::max(it.fullFor, slotCheckInterval);
    if (m_serverTracker.constraints().bearableRejections(server.identityHash) && !withinBrittleShare(server, known, viaOwner))
        it.fullFor = std::max(it.fullFor, slotCheckInterval);
    it.restFor = m_serverTracker.constraints().restFor(server.identityHash);
    it.limited = !withinRateLimit(server, viaOwner);
    it.cold = now < server.coldUntil;
    it.warmUpAllowed = it.cold && warmUpAllowed(server, known, traits);
    const auto share = static_cast<std::size_t>(usableConnections(server, viaOwner) * traits.connectionLimit);
    it.connectionsLeft = traits.connectionLimit == 0 || static_cast<std::size_t>(std::max(0, known.own.requests)) < std::max<std::size_t>(1, share);
    return it;
}

Duration DispatchPlanner::backOffAfterRefusal(std::uint64_t server) const
{
    const auto bearable = m_serverTracker.constraints().bearableRejections(server);
    if (!bearable)
        return fullServerBackOff;
    // All instances of the region together stay below what the server bears.
    const auto instances = static_cast<double>(m_peerTable.activeInstancesIn(m_settings.region, true).size());
    const std::chrono::duration<double> interval(instances / std::max(minBearableRejections, usableRejectionShare * *bearable));
    return std::clamp(std::chrono::duration_cast<Duration>(interval), fullServerBackOff, maxBackOffAfterRefusal);
}

double DispatchPlanner::usableConnections(const BackendServer& server, bool viaOwner) const
{
    const auto instances = static_cast<double>(ownership().candidateCount());
    if (!viaOwner)
        return usableConnectionShare / instances;
    return usableConnectionShare * (isOwner(server) ? ownerConnectionShare : (1 - ownerConnectionShare) / instances);
}

bool DispatchPlanner::serversAreShared() const
{
    return ownership().candidateCount() > maxInstancesKnowingLoads;
}

void DispatchPlanner::sampleCandidates(std::span<ServerCandidate> candidates, const WorkSize& work, std::size_t sampleSize) const
{
    if (serversAreShared())
        sampleServers(candidates, work, sampleSize, { m_knowledgeAge, assumedUtilisation }, m_random);
}

void DispatchPlanner::sampleOne(std::span<ServerCandidate> candidates) const
{
    const auto weight = [](const ServerCandidate& it) { return it.tried || it.barred() || it.fullFor > Duration::zero() ? 0U : it.slots; };
    std::uint64_t total = 0;
    for (const auto& it : candidates)
        total += weight(it);
    auto draw = m_random.uniformBelow(total);
    for (auto& it : candidates) {
        it.sampled = draw < weight(it);
        draw = it.sampled ? std::numeric_limits<std::uint64_t>::max() : draw - weight(it);
    }
}

LocalPlan DispatchPlanner::collectCandidates(const ServiceName& service, const WorkSize& work, const std::set<std::uint64_t>& tried, const StreamSoftware& software) const
{
    LocalPlan plan;
    const auto routes = m_fleetState.routes();
    if (!routes)
        return plan;
    const auto& traits = routes->config().serviceConfig(service);
    plan.viaOwner = forwardsToOwners(service);
    for (const auto& [key, server] : m_fleetState.servers()) {
        if (server.service != service || !isUsableLocally(server))
            continue;
        plan.servers.push_back(&server);
        plan.candidates.push_back(candidate(server, traits, work, plan.viaOwner));
        plan.candidates.back().tried = tried.contains(server.identityHash);
        plan.candidates.back().otherSoftware = !software.allows(server.software);
    }
    return plan;
}

LocalPlan DispatchPlanner::planLocal(const ServiceName& service, const WorkSize& work, Duration objective, const std::set<std::uint64_t>& tried, const StreamSoftware& software, const std::optional<RegionName>& prefixHome) const
{
    auto plan = collectCandidates(service, work, tried, software);
    const bool isHomeRegion = prefixHome == m_settings.region;
    if (isHomeRegion || serversAreShared())
        assumePrefixCached(plan.candidates, work, isHomeRegion);
    applyStreamSlowness(plan.candidates);
    PrefixAffinity affinity;
    affinity.limit = std::chrono::duration_cast<Duration>(objective * prefixAffinityObjectiveShare);
    if (serversAreShared()) {
        affinity.unconditional = std::chrono::duration_cast<Duration>(objective * unconditionalAffinityShare);
        affinity.rankedWait = std::chrono::duration_cast<Duration>(std::max(objective, minRankedObjective) * rankedWaitShare);
    }
    if (plan.viaOwner)
        sampleOne(plan.candidates);
    else
        sampleCandidates(plan.candidates, work, 1);
    plan.choice = chooseServer(plan.candidates, work, affinity, m_random.next());
    describeChoice(plan, work);
    return plan;
}

LocalPlan DispatchPlanner::planAt(std::uint64_t hash, const ServiceName& service, const WorkSize& work) const
{
    LocalPlan plan;
    const auto routes = m_fleetState.routes();
    for (const auto& [key, server] : m_fleetState.servers()) {
        if (!routes || server.identityHash != hash || server.service != service || !isUsableLocally(server))
            continue;
        plan.servers.push_back(&server);
        plan.candidates.push_back(candidate(server, routes->config().serviceConfig(service), work, true));
    }
    plan.choice = chooseServer(plan.candidates, work, {}, m_random.next());
    describeChoice(plan, work);
    return plan;
}

void DispatchPlanner::describeChoice(LocalPlan& plan, const WorkSize& work)
{
    for (std::size_t i = 0; !plan.choice.best && i < plan.candidates.size(); ++i) {
        const auto fullFor = plan.candidates[i].fullFor;
        if (plan.choice.rejectReasons[i] == ServerRejectReason::Full)
            plan.slotWait = std::min(plan.slotWait.value_or(fullFor), fullFor);
    }
    const bool allRest = !plan.candidates.empty() && std::ranges::all_of(plan.choice.rejectReasons, [](auto reason) { return reason == ServerRejectReason::Resting; });
    if (allRest)
        plan.restFor = std::ranges::min(plan.candidates, {}, &ServerCandidate::restFor).restFor;
    if (!plan.choice.best || !plan.candidates[*plan.choice.best].engine)
        return;
    const auto shared = work.sharedTokens();
    plan.prefixPrefillTime = prefillTime(shared - std::min(shared, plan.candidates[*plan.choice.best].surelyCachedTokens));
}

std::set<RegionName> DispatchPlanner::regionsThatContinue(const ServiceName& service, const StreamSoftware& software) const
{
    std::set<RegionName> regions;
    for (const auto& [key, server] : m_fleetState.servers()) {
        const auto* region = server.service == service && software.allows(server.software) ? servingRegion(server) : nullptr;
        if (region)
            regions.insert(*region);
    }
    return regions;
}

bool DispatchPlanner::canContinue(const AllowedRegions& allowed, const ServiceName& service, const StreamSoftware& software) const
{
    return std::ranges::any_of(regionsThatContinue(service, software), [&](const auto& region) { return allowed.allows(region); });
}

RemotePlan DispatchPlanner::planRemote(const AllowedRegions& allowed, const ServiceName& service, const WorkSize& work, const std::set<InstanceId>& tried, const StreamSoftware& software, const LocalPlan& local, const std::optional<RegionName>& prefixHome) const
{
    RemotePlan plan;
    const auto now = m_clock.now();
    const auto continuing = software.begun() ? regionsThatContinue(service, software) : std::set<RegionName>();
    const auto mayContinue = [&](const PeerState& peer) { return !software.begun() || (peer.keepsStreamSoftware && continuing.contains(peer.region)); };
    std::map<RegionName, std::vector<const PeerState*>> byRegion;
    std::map<RegionName, std::vector<const PeerState*>> drainingByRegion;
    for (const auto* peer : m_peerTable.alive()) {
        const bool eligible = (peer->region != m_settings.region || local.unreachable()) && namesOrganisations(*peer);
        const bool usable = eligible && allowed.allows(peer->region) && now >= peer->backOffUntil && !tried.contains(peer->instance);
        const auto capacity = peer->capacityByService.find(service);
        const bool hasCapacity = capacity != peer->capacityByService.end() && (capacity->second.freeSlots > 0 || local.reachesNone());
        if (usable && mayContinue(*peer) && hasCapacity)
            (peer->draining ? drainingByRegion : byRegion)[peer->region].push_back(peer);
    }
    // While all instances of a region restart, its servers are reached through those that still drain.
    byRegion.merge(drainingByRegion);
    for (const auto& [region, regionPeers] : byRegion) {
        const auto* peer = regionPeers[m_random.uniformBelow(regionPeers.size())];
        const auto level = std::min(work.priority, priorityLevels - 1);
        auto wait = peer->capacityByService.at(service).wait[level];
        if (serversAreShared()) {
            // Each peer has looked at a few of the servers; all of them together tell more of the region.
            Duration sum {};
            for (const auto* it : regionPeers)
                sum += it->capacityByService.at(service).wait[level];
            wait = sum / regionPeers.size();
        }
        wait += peer->unreportedHops * queueWaitPerHop;
        const bool holdsPrefix = prefixHome == region;
        const auto prompt = prefillTime(work.promptTokens - (holdsPrefix ? work.sharedTokens() : 0));
        plan.candidates.push_back({ wait, prompt, region == m_settings.region ? ownRegionRoundTrip : regionRoundTrip, holdsPrefix });
        plan.peers.push_back(peer);
    }
    return plan;
}

std::map<ServiceName, ServiceCapacity> DispatchPlanner::freeCapacity() const
{
    std::map<ServiceName, ServiceCapacity> capacities;
    const auto routes = m_fleetState.routes();
    if (!routes)
        return capacities;
    WorkSize typical;
    typical.promptTokens = typicalPromptTokens;
    for (const auto& [service, traits] : routes->config().services) {
        ServiceCapacity capacity;
        bool usable = false;
        for (std::size_t level = 0; level < priorityLevels; ++level) {
            typical.priority = level;
            auto plan = collectCandidates(service, typical, {}, {});
            if (!plan.viaOwner)
                sampleCandidates(plan.candidates, typical, reportedSample);
            plan.choice = chooseServer(plan.candidates, typical, {}, m_random.next());
            if (!plan.choice.best)
                break;
            capacity.wait[level] = plan.choice.predicted;
            usable = true;
            if (level == 0)
                capacity.freeSlots = freeSlots(plan);
        }
        if (usable)
            capacities[service] = capacity;
    }
    return capacities;
}

} // namespace yuccashift
