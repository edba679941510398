#include "yuccashift/entry/dispatcher.hpp"

#include "yuccashift/dispatch/prefix_home.hpp"
#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** Round trip to another region; the deployments' links take a few dozen milliseconds one way. */
    constexpr Duration regionRoundTrip = milliseconds(116);
    /** Queue wait that each forwarded request adds until the other region's heartbeat includes it. */
    constexpr Duration queueWaitPerHop = milliseconds(15);
    /** Factor on the interval between requests to a cold server: for short periods several instances may consider themselves its owner. */
    constexpr double coldIntervalFactor = 2.5;
    constexpr double minColdRate = 0.5;
    /** Share of a server's connection limit that all instances use together; the rest is for probes and newly added instances. */
    constexpr double usableConnectionShare = 0.8;
    /** Lifetime of a measured stream gap. It expires so that a server that has become faster receives requests again. */
    constexpr Duration streamGapLifetime = seconds(3);
    /** Up to this many instances know each other's loads well enough for each to use the best server. */
    constexpr std::size_t maxInstancesWithoutSampling = 4;
    /** With more instances, each request considers a random sample of servers; otherwise all instances would choose the same best server at once. */
    constexpr std::size_t minSampledServers = 4;
    constexpr std::size_t sampledServersPerShare = 2;
    /** Prompt size for which heartbeats report the queue wait. */
    constexpr std::uint32_t typicalPromptTokens = 512;

    std::int32_t freeSlots(const LocalPlan& plan)
    {
        std::int32_t slots = 0;
        for (std::size_t i = 0; i < plan.candidates.size(); ++i) {
            const auto& it = plan.candidates[i];
            if (plan.choice.passedOver[i] == PassedOver::No)
                slots += std::max(0, static_cast<std::int32_t>(it.slots) - it.load.requests);
        }
        return slots;
    }

} // namespace

std::string poolKeyOf(const BackendServer& server)
{
    return server.identity.id + "|" + std::to_string(server.identity.born) + "|" + toString(server.address);
}

Dispatcher::Dispatcher(const Clock& clock, const EntrySettings& settings, const World& world, const ServerBook& book, const MemberBook& members, RandomSource& random)
    : m_clock(clock)
    , m_settings(settings)
    , m_fleetState(world)
    , m_serverTracker(book)
    , m_peerTable(members)
    , m_random(random)
{
}

const RegionName* Dispatcher::servingRegion(const BackendServer& server) const
{
    const auto region = m_settings.regions.find(server.datacentre);
    if (region == m_settings.regions.end() || server.draining || m_fleetState.evacuated(server.datacentre))
        return nullptr;
    return &region->second;
}

bool Dispatcher::serves(const BackendServer& server) const
{
    const auto* region = servingRegion(server);
    return region && *region == m_settings.region;
}

bool Dispatcher::hasReachableInstance(const RegionName& region) const
{
    return region == m_settings.region || std::ranges::any_of(m_peerTable.alive(), [&](const auto* it) { return it->region == region && !it->draining; });
}

std::optional<RegionName> Dispatcher::prefixHome(const Route& route, const ServiceName& service, const WorkSize& work) const
{
    const auto shared = work.sharedParts();
    if (shared.empty())
        return std::nullopt;
    std::map<RegionName, std::size_t> servers;
    for (const auto& [key, server] : m_fleetState.servers()) {
        const auto* region = server.service == service ? servingRegion(server) : nullptr;
        if (region && route.allowsRegion(*region))
            ++servers[*region];
    }
    std::vector<RegionCapacity> regions;
    for (const auto& [region, count] : servers) {
        if (hasReachableInstance(region))
            regions.push_back({ region, count });
    }
    return prefixHomeRegion(shared.back().id, regions);
}

std::size_t Dispatcher::instancesSharingServers() const
{
    return std::max<std::size_t>(1, m_peerTable.ownersIn(m_settings.region, true).size());
}

bool Dispatcher::warmUpAllowed(const BackendServer& server, const ServerKnowledge& known, const ServiceTraits& traits, std::span<const InstanceId> owners) const
{
    if (!m_peerTable.mayOwn(m_settings.region))
        return false;
    const auto order = rendezvousTop(server.key, owners, 1);
    if (order.empty() || order.front() != m_settings.instance)
        return false;
    const auto spacing = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(coldIntervalFactor / std::max(minColdRate, traits.coldRate)));
    return known.lastColdSend == Instant {} || m_clock.now() - known.lastColdSend >= spacing;
}

ServerCandidate Dispatcher::candidate(const BackendServer& server, const ServiceTraits& traits, const WorkSize& work, std::span<const InstanceId> owners) const
{
    const auto now = m_clock.now();
    const auto& known = m_serverTracker.of(server.key);
    ServerCandidate it;
    it.key = server.key;
    it.slots = std::max<std::uint32_t>(1, server.slots);
    it.engine = traits.engine;
    it.memoryTokens = traits.memoryTokens;
    if (const auto* prefixes = m_serverTracker.prefixes(server.key))
        it.cachedTokens = prefixes->cachedTokens(work.parts);
    it.load = known.total();
    it.readingTokens = m_serverTracker.tokensAheadOfRank(server.key, work.rank);
    it.slowness = m_serverTracker.slownessOf(server.key, traits.engine, work.rank);
    it.failureShare = known.failureShare;
    it.samples = known.samples;
    if (now - known.lastPart < streamGapLifetime)
        it.partGap = known.partGap;
    if (known.waitingSince)
        it.oldestWait = now - *known.waitingSince;
    it.suspect = known.suspect;
    it.full = now < known.fullUntil;
    it.cold = now < server.coldUntil;
    it.coldTurn = it.cold && warmUpAllowed(server, known, traits, owners);
    const auto share = static_cast<std::size_t>(usableConnectionShare * traits.connectionLimit / static_cast<double>(std::max<std::size_t>(1, owners.size())));
    it.connectionsLeft = traits.connectionLimit == 0 || static_cast<std::size_t>(std::max(0, known.own.requests)) < std::max<std::size_t>(1, share);
    return it;
}

void Dispatcher::assumePrefixCachedAtOwner(std::span<ServerCandidate> candidates, const WorkSize& work)
{
    const auto shared = work.sharedParts();
    if (shared.empty())
        return;
    ServerCandidate* home = nullptr;
    std::uint64_t highest = 0;
    for (auto& it : candidates) {
        const auto weight = prefixServerWeight(shared.back().id, it.key);
        if (it.suspect || it.cold || (home && weight < highest))
            continue;
        home = &it;
        highest = weight;
    }
    if (!home)
        return;
    home->cachedTokens = std::max(home->cachedTokens, work.sharedTokens());
}

void Dispatcher::sampleCandidates(std::span<ServerCandidate> candidates, const WorkSize& work, std::size_t instances) const
{
    if (instances <= maxInstancesWithoutSampling || candidates.empty())
        return;
    const auto sampleSize = std::max<std::size_t>(minSampledServers, sampledServersPerShare * candidates.size() / instances);
    const auto sharedTokens = work.sharedTokens();
    for (auto& it : candidates) {
        const bool holdsPrefix = sharedTokens > 0 && it.cachedTokens >= sharedTokens;
        it.considered = holdsPrefix || m_random.below(candidates.size()) < sampleSize;
    }
}

LocalPlan Dispatcher::planLocal(const ServiceName& service, const WorkSize& work, Duration objective, const std::set<std::uint64_t>& tried, const std::optional<RegionName>& prefixHome) const
{
    LocalPlan plan;
    const auto routes = m_fleetState.routes();
    if (!routes)
        return plan;
    const auto& traits = routes->config().traitsOf(service);
    const auto owners = m_peerTable.ownersIn(m_settings.region, true);
    for (const auto& [key, server] : m_fleetState.servers()) {
        if (server.service != service || !serves(server))
            continue;
        plan.servers.push_back(&server);
        plan.candidates.push_back(candidate(server, traits, work, owners));
        plan.candidates.back().tried = tried.contains(server.key);
    }
    if (prefixHome == m_settings.region)
        assumePrefixCachedAtOwner(plan.candidates, work);
    noteSlowStreams(plan.candidates);
    const auto soonEnough = std::chrono::duration_cast<Duration>(objective * soonEnoughShare);
    sampleCandidates(plan.candidates, work, owners.size());
    plan.choice = chooseServer(plan.candidates, work, soonEnough, m_random.next());
    if (traits.engine && plan.choice.best) {
        const auto shared = work.sharedTokens();
        plan.rereading = readingTime(shared - std::min(shared, plan.candidates[*plan.choice.best].cachedTokens));
    }
    return plan;
}

RemotePlan Dispatcher::planRemote(const Route& route, const ServiceName& service, const WorkSize& work, const std::set<InstanceId>& tried, const std::optional<RegionName>& prefixHome) const
{
    RemotePlan plan;
    const auto now = m_clock.now();
    std::map<RegionName, std::vector<const FleetMember*>> byRegion;
    for (const auto* member : m_peerTable.alive()) {
        const bool usable = member->region != m_settings.region && route.allowsRegion(member->region) && !member->draining && now >= member->avoidUntil && !tried.contains(member->instance);
        const auto room = member->rooms.find(service);
        if (usable && room != member->rooms.end() && room->second.freeSlots > 0)
            byRegion[member->region].push_back(member);
    }
    for (const auto& [region, members] : byRegion) {
        const auto* member = members[m_random.below(members.size())];
        const auto wait = member->rooms.at(service).wait[std::min(work.rank, urgencyRanks - 1)] + member->sentSinceHeard * queueWaitPerHop;
        const bool holdsPrefix = prefixHome == region;
        const auto prompt = readingTime(work.promptTokens - (holdsPrefix ? work.sharedTokens() : 0));
        plan.rooms.push_back({ wait, prompt, regionRoundTrip, holdsPrefix });
        plan.members.push_back(member);
    }
    return plan;
}

std::map<ServiceName, ServiceRoomView> Dispatcher::rooms() const
{
    std::map<ServiceName, ServiceRoomView> rooms;
    const auto routes = m_fleetState.routes();
    if (!routes)
        return rooms;
    WorkSize typical;
    typical.promptTokens = typicalPromptTokens;
    for (const auto& [service, traits] : routes->config().services) {
        ServiceRoomView room;
        for (std::size_t rank = 0; rank < urgencyRanks; ++rank) {
            typical.rank = rank;
            const auto plan = planLocal(service, typical, Duration::zero(), {}, std::nullopt);
            if (!plan.choice.best)
                break;
            room.wait[rank] = plan.choice.predicted;
            if (rank == 0)
                room.freeSlots = freeSlots(plan);
        }
        if (room.freeSlots > 0)
            rooms[service] = room;
    }
    return rooms;
}

} // namespace yuccashift
