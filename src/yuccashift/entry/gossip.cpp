#include "yuccashift/entry/gossip.hpp"

#include "yuccashift/entry/snapshot_exchange.hpp"
#include "yuccashift/fleet/datagram.hpp"
#include "yuccashift/http/detail/scratch.hpp"
#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/limits/usage_rate_codec.hpp"
#include "yuccashift/resilience/prompt_evidence_codec.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    /** Heartbeat interval among few instances. Other instances' load on a server is known with at most this delay plus the network latency. */
    constexpr Duration baseInterval = milliseconds(100);
    /** Up to this many instances per region use the base interval; beyond that, the interval grows in proportion, so that control traffic stays level. */
    constexpr double instancesAtBaseInterval = 8;
    constexpr Duration maxInterval = seconds(1);
    /** Heartbeats arrive within this time; what they tell the age of counts as older by it, so that it does not grow younger on its way. */
    constexpr Duration maxHeartbeatDelay = milliseconds(250);
    /** An instance counts as silent after this many intervals without a heartbeat, since several may be lost in a row, but not before the minimum time. */
    constexpr double silenceIntervals = 3.5;
    constexpr Duration minSilence = milliseconds(1500);
    /** Every this many rounds, a heartbeat goes to other regions, to the given number of instances in each. */
    constexpr std::uint64_t roundsBetweenRegionHeartbeats = 2;
    /** Every this many rounds, and when it loses or regains its servers, an instance reports its region's capacity to its own region too. */
    constexpr std::uint64_t roundsBetweenOwnRegionCapacity = 4;
    constexpr std::size_t recipientsPerRegion = 2;
    /** A heartbeat carries the sender's profile in the first rounds and in every n-th round after them. */
    constexpr std::uint64_t initialRoundsWithProfile = 10;
    constexpr std::uint64_t roundsBetweenProfiles = 8;
    /** An address is dropped if no instance has been heard at it for this time. */
    constexpr Duration addressLifetime = seconds(20);
    /** Maximum number of addresses that one heartbeat names. */
    constexpr std::size_t maxNamedAddresses = 24;
    /** Maximum number of losses, and of successes, of parts of prompts that one heartbeat carries. */
    constexpr std::size_t maxPromptEvidence = 8;
    /** Changes that do not fit into one packet are not forwarded; the other instances fetch them. */
    constexpr std::size_t maxForwardedBytes = 1200;

    ServerLoadSum decodeLoad(const fleetwire::ServerLoad& load)
    {
        ServerLoadSum sum;
        sum.requests = load.requests;
        sum.memoryTokens = load.memoryTokens;
        for (std::size_t i = 0; i < std::min(priorityLevels, load.waitingPromptTokens.size()); ++i)
            sum.waitingPromptTokens[i] = load.waitingPromptTokens[i];
        return sum;
    }

    ConstraintReport decodeServerRequest(const fleetwire::ServerRequest& request)
    {
        ConstraintReport report;
        report.server = static_cast<std::uint64_t>(static_cast<std::uint32_t>(request.server));
        if (request.__isset.requestsPerSecond)
            report.statement.requestsPerSecond = request.requestsPerSecond;
        report.statement.leaving = request.leaving;
        report.statement.restFor = milliseconds(std::max(0, request.restMs));
        if (request.__isset.bearableRejections)
            report.statement.bearableRejections = request.bearableRejections;
        report.age = milliseconds(std::max(0, request.ageMs));
        return report;
    }

    fleetwire::ServerRequest encodeServerRequest(const ConstraintReport& report)
    {
        fleetwire::ServerRequest request;
        request.server = static_cast<std::int32_t>(report.server);
        if (report.statement.requestsPerSecond)
            request.__set_requestsPerSecond(*report.statement.requestsPerSecond);
        if (report.statement.bearableRejections)
            request.__set_bearableRejections(*report.statement.bearableRejections);
        request.leaving = report.statement.leaving;
        request.restMs = static_cast<std::int32_t>(toMilliseconds(report.statement.restFor));
        request.ageMs = static_cast<std::int32_t>(toMilliseconds(report.age));
        return request;
    }

    constexpr double percent = 100;
    /** Servers of which one heartbeat tells what the sender observed; the rest follows with the next ones. */
    constexpr std::size_t maxObservedServers = 48;

    ServerObservation decodeObservation(const fleetwire::ServerObservationReport& report)
    {
        ServerObservation observation;
        observation.server = static_cast<std::uint64_t>(static_cast<std::uint32_t>(report.server));
        // A pace of 0 says nothing, as if there were no first bytes.
        observation.firstBytes = report.pacePercent > 0 ? report.firstBytes : 0;
        observation.meanLogPace = report.pacePercent > 0 ? std::log(report.pacePercent / percent) : 0;
        observation.outcomes = report.outcomes;
        observation.failures = report.failures;
        return observation;
    }

    fleetwire::ServerObservationReport encodeObservation(const ServerObservation& observation)
    {
        fleetwire::ServerObservationReport report;
        report.server = static_cast<std::int32_t>(observation.server);
        report.firstBytes = static_cast<std::int32_t>(observation.firstBytes);
        report.pacePercent = static_cast<std::int32_t>(std::lround(std::exp(observation.meanLogPace) * percent));
        report.outcomes = static_cast<std::int32_t>(observation.outcomes);
        report.failures = static_cast<std::int32_t>(observation.failures);
        return report;
    }

    /** In milliseconds; no stream lasts that long. */
    constexpr std::int64_t maxReportedSingleSoftware = 600'000;

    OwnerReport decodeReport(const fleetwire::ServerLoad& load, Instant now)
    {
        OwnerReport report;
        for (std::size_t i = 0; i < std::min(priorityLevels, load.slownessPercent.size()); ++i)
            report.slowness[i] = load.slownessPercent[i] / percent;
        report.suspect = load.suspect;
        report.failureShare = load.failurePercent / percent;
        report.receivedAt = now;
        return report;
    }

    /** Unit of demand in heartbeats, as a part of an engine's time. */
    constexpr double demandUnitsPerEngine = 1000;

    std::map<ServiceName, PromptLoads> decodeDemand(const fleetwire::Heartbeat& heartbeat)
    {
        std::map<ServiceName, PromptLoads> demand;
        for (const auto& [service, levels] : heartbeat.promptDemand) {
            auto& loads = demand[service];
            for (std::size_t level = 0; level < std::min(acceptanceLevels, levels.size()); ++level)
                loads[level] = std::max(0, levels[level]) / demandUnitsPerEngine;
        }
        return demand;
    }

    void addDemand(fleetwire::Heartbeat& heartbeat, const PromptDemand& demand)
    {
        for (const auto& [service, loads] : demand.own()) {
            auto& levels = heartbeat.promptDemand[service];
            for (const auto load : loads)
                levels.push_back(static_cast<std::int32_t>(std::lround(load * demandUnitsPerEngine)));
            while (!levels.empty() && levels.back() == 0)
                levels.pop_back();
        }
    }

    void addReport(fleetwire::ServerLoad& load, const OwnerReport& report)
    {
        for (const auto slowness : report.slowness)
            load.slownessPercent.push_back(static_cast<std::int32_t>(std::lround(slowness * percent)));
        load.suspect = report.suspect;
        load.failurePercent = static_cast<std::int32_t>(std::lround(report.failureShare * percent));
    }

} // namespace

Gossip::Gossip(EntryCore& core)
    : m_core(core)
    , m_socket(core.io)
    , m_timer(core.io)
    , m_self(asio::ip::make_address_v4(core.settings.ip))
    , m_ownRegionBytes(core.metrics.counter("yuccashift_heartbeat_bytes_total", { { "to", "own_region" } }))
    , m_otherRegionBytes(core.metrics.counter("yuccashift_heartbeat_bytes_total", { { "to", "other_regions" } }))
    , m_skippedChanges(core.metrics.counter("yuccashift_skipped_changes_total"))
    // A later start has a later wall time. After a backward clock jump, the others ignore this instance
    // until they have forgotten its previous incarnation.
    , m_incarnation(std::chrono::duration_cast<milliseconds>(core.clock.wallNow().time_since_epoch()).count())
{
    setSeeds(core.settings.seedAddresses);
    core.streamOrigins.setSender(this);
}

Gossip::~Gossip()
{
    m_core.streamOrigins.setSender(nullptr);
}

void Gossip::setSeeds(const std::vector<std::string>& addresses)
{
    m_seeds.clear();
    for (const auto& text : addresses) {
        error_code ec;
        const auto address = asio::ip::make_address_v4(text, ec);
        if (ec)
            logWarning("ignoring invalid seed address", { { "seed", text } });
        else if (address != m_self)
            m_seeds.insert(address);
    }
    if (!m_seeds.empty())
        m_core.peerTable.expectPeers();
}

Result<void> Gossip::start()
{
    error_code ec;
    const Udp::endpoint local(m_self, m_core.settings.peerPort);
    m_socket.open(local.protocol(), ec);
    if (!ec)
        m_socket.bind(local, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec)
        return fail(ErrorKind::BadSettings, "cannot bind the heartbeat socket: " + ec.message());
    receive();
    tick();
    return {};
}

void Gossip::receive()
{
    m_socket.async_wait(Udp::socket::wait_read, [this](const error_code& waitError) {
        if (waitError)
            return;
        auto& buf = detail::scratch();
        for (;;) {
            error_code ec;
            const auto n = m_socket.receive_from(asio::buffer(buf), m_sender, 0, ec);
            if (ec == asio::error::would_block || ec == asio::error::try_again)
                break;
            // An error here may report that an earlier datagram was undeliverable; the next receive may succeed.
            if (!ec)
                onDatagram({ buf.data(), n });
        }
        receive();
    });
}

void Gossip::onDatagram(std::string_view bytes)
{
    const auto datagram = decodeDatagram(bytes);
    if (!datagram) {
        logWarning("malformed datagram received", { { "from", m_sender.address().to_string() }, { "bytes", bytes.size() } });
        return;
    }
    m_core.streamOrigins.onDatagram(*datagram);
    if (datagram->__isset.heartbeat)
        onHeartbeat(datagram->heartbeat);
    if (datagram->__isset.news)
        onSnapshot(datagram->news);
    if (datagram->__isset.newsWithoutValues)
        onSnapshot(datagram->newsWithoutValues);
}

void Gossip::onSnapshot(const fleetwire::Snapshot& snapshot)
{
    const auto before = m_core.fleetState.replica().revision();
    if (applySnapshot(m_core.fleetState, snapshot, m_core.clock.now()))
        logInfo("changes received from an instance", { { "from", m_sender.address().to_string() }, { "revision", snapshot.revision }, { "before", before } });
    else if (snapshot.revision > before)
        m_skippedChanges.add();
}

void Gossip::learnAddresses(const fleetwire::Heartbeat& heartbeat, const std::optional<InstanceId>& sender)
{
    const auto now = m_core.clock.now();
    if (m_sender.address().is_v4() && m_sender.address().to_v4() != m_self) {
        m_lastSeen[m_sender.address().to_v4()] = now;
        if (sender)
            m_instanceByAddress[m_sender.address().to_v4()] = *sender;
    }
    for (const auto it : heartbeat.hears) {
        const Address address(static_cast<std::uint32_t>(it));
        if (address != m_self)
            m_lastSeen.emplace(address, now);
    }
}

void Gossip::onHeartbeat(const fleetwire::Heartbeat& heartbeat)
{
    const auto now = m_core.clock.now();
    const auto sender = m_core.peerTable.onHeartbeat(heartbeat);
    learnAddresses(heartbeat, sender);
    const auto* peer = sender ? m_core.peerTable.find(*sender) : nullptr;
    if (!peer)
        return;
    const auto& replica = m_core.fleetState.replica();
    const bool knowsNoMore = heartbeat.storeEra == replica.era() && peer->knownRevision <= replica.revision();
    if (heartbeat.__isset.listAgeMs && knowsNoMore)
        m_core.fleetState.confirm(now - milliseconds(std::max(0, heartbeat.listAgeMs)) - maxHeartbeatDelay);
    takeSoftwareReport(heartbeat, *peer);
    m_core.promptQuarantine.merge(promptEvidenceOf(heartbeat), now, peer->region != m_core.settings.region);
    const ReportingPeer reporter { peer->instance, peer->incarnation, peer->region, peer->region == m_core.settings.region };
    takeUsageReport(m_core.fleetLimits, heartbeat, reporter, now);
    if (peer->region != m_core.settings.region)
        return;
    std::map<std::uint64_t, ServerLoadSum> loads;
    std::map<std::uint64_t, OwnerReport> reports;
    for (const auto& load : heartbeat.loads) {
        const auto server = static_cast<std::uint64_t>(static_cast<std::uint32_t>(load.server));
        loads[server] = decodeLoad(load);
        if (!load.slownessPercent.empty() && !heartbeat.reachesNoServer)
            reports[server] = decodeReport(load, now);
        m_core.serverTracker.setPeerPrefill(*sender, server, { load.readingTokens, static_cast<std::size_t>(std::max(0, load.readingRank)), now });
    }
    for (const auto& request : heartbeat.serverRequests)
        m_core.serverTracker.constraints().onReport(decodeServerRequest(request));
    for (const auto& report : heartbeat.observations)
        m_core.serverTracker.observations().onReport(decodeObservation(report));
    m_core.serverTracker.setPeerLoads(*sender, std::move(loads));
    m_core.serverTracker.setOwnerReports(*sender, reports);
    m_core.promptDemand.setPeer(*sender, decodeDemand(heartbeat));
}

void Gossip::takeSoftwareReport(const fleetwire::Heartbeat& heartbeat, const PeerState& peer)
{
    auto& fleet = m_core.fleetState;
    const StorePosition known { heartbeat.storeEra, peer.knownRevision };
    fleet.onSoftwareDigestOfOther(static_cast<std::uint64_t>(heartbeat.softwareDigest), known);
    const Duration formerStreamAge = heartbeat.__isset.formerStreamAgeMs ? milliseconds(std::max(0, heartbeat.formerStreamAgeMs)) : assumedStreamAge;
    fleet.onConfigsOfOther(heartbeat.configVersion, heartbeat.formerConfigVersions, formerStreamAge);
    if (heartbeat.__isset.longestCallerDeadlineMs)
        fleet.onReportedDeadline(milliseconds(std::max(0, heartbeat.longestCallerDeadlineMs)));
    // An instance that lacks a configuration or other changes may not know that a route has moved, or that a version came and went.
    const bool knowsLess = heartbeat.configVersion < fleet.configVersion() || known < StorePosition { fleet.replica().era(), fleet.replica().revision() };
    if (!knowsLess)
        fleet.onSoftwareReport({ static_cast<std::uint64_t>(heartbeat.softwareDigest), milliseconds(heartbeat.singleSoftwareMs), formerStreamAge }, mix64(static_cast<std::uint64_t>(heartbeat.incarnation)) ^ static_cast<std::uint32_t>(heartbeat.sender));
}

Duration Gossip::heartbeatInterval() const
{
    const auto ownRegion = static_cast<double>(m_core.peerTable.activeInstancesIn(m_core.settings.region, true).size());
    const double factor = std::max(1.0, ownRegion / instancesAtBaseInterval);
    return std::min(maxInterval, std::chrono::duration_cast<Duration>(baseInterval * factor));
}

fleetwire::Heartbeat Gossip::makeHeartbeat(bool withProfile)
{
    fleetwire::Heartbeat heartbeat;
    const auto& settings = m_core.settings;
    heartbeat.sender = hashOfInstance(settings.instance);
    heartbeat.incarnation = m_incarnation;
    heartbeat.sequence = ++m_sequence;
    heartbeat.draining = m_core.draining();
    heartbeat.takesCallers = !m_core.draining() && m_core.fleetState.configVersion() > 0;
    heartbeat.configVersion = m_core.fleetState.configVersion();
    heartbeat.storeRevision = m_core.fleetState.replica().completeRevision();
    heartbeat.storeEra = m_core.fleetState.replica().era();
    heartbeat.knownRevision = m_core.fleetState.replica().revision();
    heartbeat.reachesNoServer = m_core.planner.reachesNoServer();
    heartbeat.keepsStreamSoftware = true;
    heartbeat.namesOrganisations = true;
    heartbeat.marksServerAnswers = true;
    if (m_core.fleetState.isConfirmed())
        heartbeat.__set_listAgeMs(static_cast<std::int32_t>(toMilliseconds(m_core.clock.now() - *m_core.fleetState.confirmedAt())));
    const auto software = m_core.fleetState.softwareReport();
    heartbeat.softwareDigest = static_cast<std::int64_t>(software.digest);
    heartbeat.singleSoftwareMs = static_cast<std::int32_t>(std::min(maxReportedSingleSoftware, toMilliseconds(software.duration)));
    heartbeat.__set_formerStreamAgeMs(static_cast<std::int32_t>(std::min(maxReportedSingleSoftware, toMilliseconds(software.formerStreamAge))));
    const auto& ages = m_core.fleetState.streamAges();
    if (const auto versions = ages.formerVersions(m_core.clock.now()); !versions.empty())
        heartbeat.__set_formerConfigVersions(versions);
    if (const auto deadline = ages.longestCallerDeadline(m_core.clock.now()); deadline > Duration::zero())
        heartbeat.__set_longestCallerDeadlineMs(static_cast<std::int32_t>(toMilliseconds(deadline)));
    if (!withProfile)
        return heartbeat;
    fleetwire::Profile profile;
    profile.instance = settings.instance;
    profile.region = settings.region;
    profile.datacentre = settings.datacentre;
    profile.ip = settings.ip;
    profile.capacity = static_cast<std::int32_t>(std::lround(settings.capacityForPeers() * capacityUnitsPerCore));
    heartbeat.__set_profile(profile);
    auto alive = m_core.peerTable.alive();
    while (!alive.empty() && heartbeat.hears.size() < maxNamedAddresses) {
        const auto index = m_core.random->uniformBelow(alive.size());
        error_code ec;
        const auto address = asio::ip::make_address_v4(alive[index]->ip, ec);
        if (!ec)
            heartbeat.hears.push_back(static_cast<std::int32_t>(address.to_uint()));
        alive[index] = alive.back();
        alive.pop_back();
    }
    return heartbeat;
}

void Gossip::addLoads(fleetwire::Heartbeat& heartbeat) const
{
    for (const auto& [server, load] : m_core.serverTracker.ownLoads()) {
        const bool owned = m_core.planner.owns(server);
        if (load.requests == 0 && !owned)
            continue;
        fleetwire::ServerLoad it;
        it.server = static_cast<std::int32_t>(server);
        it.requests = load.requests;
        it.memoryTokens = load.memoryTokens;
        it.waitingPromptTokens.assign(load.waitingPromptTokens.begin(), load.waitingPromptTokens.end());
        while (!it.waitingPromptTokens.empty() && it.waitingPromptTokens.back() == 0)
            it.waitingPromptTokens.pop_back();
        const auto reading = m_core.serverTracker.ownPrefill(server);
        it.readingTokens = reading.tokens;
        it.readingRank = static_cast<std::int32_t>(reading.priority);
        if (owned)
            addReport(it, m_core.serverTracker.observedHealth(server));
        heartbeat.loads.push_back(std::move(it));
    }
}

void Gossip::addObservations(fleetwire::Heartbeat& heartbeat) const
{
    const auto observations = m_core.serverTracker.observations().takeOwn(maxObservedServers);
    if (!m_core.planner.serversAreShared() || heartbeat.reachesNoServer)
        return;
    heartbeat.__isset.observations = !observations.empty();
    heartbeat.observations.reserve(observations.size());
    for (const auto& it : observations)
        heartbeat.observations.push_back(encodeObservation(it));
}

void Gossip::addCapacity(fleetwire::Heartbeat& heartbeat) const
{
    heartbeat.reportsCapacity = true;
    for (const auto& [service, capacity] : m_core.planner.freeCapacity()) {
        fleetwire::ServiceRoom it;
        it.serviceName = service;
        for (const auto wait : capacity.wait)
            it.waitMs.push_back(static_cast<std::int32_t>(toMilliseconds(wait)));
        it.freeSlots = capacity.freeSlots;
        const auto* basis = m_core.acceptance.basisFor(service);
        for (std::size_t priority = 0; basis && priority < priorityLevels; ++priority)
            it.acceptPercent.push_back(static_cast<std::int32_t>(std::lround(percent * basis->shares[acceptanceLevel(priority, false)])));
        heartbeat.rooms.push_back(std::move(it));
    }
}

void Gossip::sendTo(std::span<const Address> addresses, const std::string& bytes)
{
    for (const auto& address : addresses) {
        error_code ec;
        // A failed send is equivalent to a lost datagram; the next heartbeat follows shortly.
        m_socket.send_to(asio::buffer(bytes), { address, m_core.settings.peerPort }, 0, ec);
    }
}

std::vector<Gossip::Address> Gossip::ownRegionAddresses() const
{
    std::vector<Address> ownRegion;
    for (const auto& [address, seen] : m_lastSeen) {
        const auto name = m_instanceByAddress.find(address);
        const auto* peer = name == m_instanceByAddress.end() ? nullptr : m_core.peerTable.find(name->second);
        if (peer && peer->region == m_core.settings.region)
            ownRegion.push_back(address);
    }
    return ownRegion;
}

std::vector<Gossip::Address> Gossip::sampleOtherRegions()
{
    std::map<RegionName, std::vector<Address>> byRegion;
    for (const auto& [address, seen] : m_lastSeen) {
        const auto name = m_instanceByAddress.find(address);
        const auto* peer = name == m_instanceByAddress.end() ? nullptr : m_core.peerTable.find(name->second);
        // Addresses without a known profile form a separate group with an empty region name.
        const auto region = peer ? peer->region : RegionName();
        if (region != m_core.settings.region)
            byRegion[region].push_back(address);
    }
    for (const auto& seed : m_seeds) {
        if (!m_lastSeen.contains(seed))
            byRegion[RegionName()].push_back(seed);
    }
    std::vector<Address> otherRegions;
    for (auto& [region, addresses] : byRegion) {
        // A starting instance contacts many unknown addresses; later, their own heartbeats identify them.
        const auto limit = region.empty() && m_round < initialRoundsWithProfile ? maxNamedAddresses : recipientsPerRegion;
        for (std::size_t n = 0; n < limit && !addresses.empty(); ++n) {
            const auto index = m_core.random->uniformBelow(addresses.size());
            otherRegions.push_back(addresses[index]);
            addresses[index] = addresses.back();
            addresses.pop_back();
        }
    }
    return otherRegions;
}

void Gossip::sendHeartbeats()
{
    const auto now = m_core.clock.now();
    std::erase_if(m_lastSeen, [&](const auto& entry) { return now - entry.second > addressLifetime; });
    const bool withProfile = m_round < initialRoundsWithProfile || m_round % roundsBetweenProfiles == 0;
    const auto ownRegion = ownRegionAddresses();
    const auto usage = m_core.fleetLimits.takeReport(maxReportedUsage, now);
    if (!ownRegion.empty()) {
        fleetwire::Datagram datagram;
        datagram.__set_heartbeat(makeHeartbeat(withProfile));
        addLoads(datagram.heartbeat);
        addObservations(datagram.heartbeat);
        addDemand(datagram.heartbeat, m_core.promptDemand);
        if (m_round % roundsBetweenOwnRegionCapacity == 0 || m_core.planner.reachesNoServer() != m_reportedReachesNoServer)
            addCapacity(datagram.heartbeat);
        m_reportedReachesNoServer = m_core.planner.reachesNoServer();
        addPromptEvidence(datagram.heartbeat, m_core.promptQuarantine.takeForHeartbeat(now, maxPromptEvidence));
        addUsageRates(datagram.heartbeat, usage, 0);
        for (const auto& report : m_core.serverTracker.constraints().reports())
            datagram.heartbeat.serverRequests.push_back(encodeServerRequest(report));
        const auto bytes = encodeDatagram(datagram);
        m_ownRegionBytes.add(bytes.size() * ownRegion.size());
        sendTo(ownRegion, bytes);
    }
    if (m_round % roundsBetweenRegionHeartbeats != 0 && !m_core.draining())
        return;
    const auto otherRegions = sampleOtherRegions();
    if (otherRegions.empty())
        return;
    // The recipients are a random sample and may not have received the profile before.
    fleetwire::Datagram datagram;
    datagram.__set_heartbeat(makeHeartbeat(true));
    addCapacity(datagram.heartbeat);
    addPromptEvidence(datagram.heartbeat, m_core.promptQuarantine.newest(now, maxPromptEvidence));
    addUsageRates(datagram.heartbeat, m_core.fleetLimits.regionReport(maxReportedUsage, now), m_core.fleetLimits.regionSources(now));
    const auto bytes = encodeDatagram(datagram);
    m_otherRegionBytes.add(bytes.size() * otherRegions.size());
    sendTo(otherRegions, bytes);
}

void Gossip::forwardChanges(std::int64_t after)
{
    const auto news = snapshotAfter(m_core.fleetState.replica(), after, LargeValues::Follow, m_core.clock.now());
    if (news.whole)
        return;
    fleetwire::Datagram datagram;
    if (std::ranges::any_of(news.items, &fleetwire::HeldItem::valueFollows))
        datagram.__set_newsWithoutValues(news);
    else
        datagram.__set_news(news);
    const auto bytes = encodeDatagram(datagram);
    if (bytes.size() > maxForwardedBytes)
        return;
    sendTo(ownRegionAddresses(), bytes);
}

void Gossip::sendDatagram(const std::string& ip, const fleetwire::Datagram& datagram)
{
    error_code ec;
    const auto address = asio::ip::make_address_v4(ip, ec);
    if (ec)
        return logWarning("datagram not sent to an invalid address", { { "address", ip } });
    sendTo(std::span(&address, 1), encodeDatagram(datagram));
}

void Gossip::tick()
{
    m_core.peerTable.updateActiveInstances(m_core.settings.region);
    sendHeartbeats();
    ++m_round;
    for (const auto& instance : m_core.peerTable.expire()) {
        logInfo("instance removed after prolonged silence", { { "peer", instance } });
        m_core.serverTracker.setPeerLoads(instance, {});
        m_core.serverTracker.setOwnerReports(instance, {});
        m_core.promptDemand.setPeer(instance, {});
    }
    const auto currentInterval = heartbeatInterval();
    m_core.fleetLimits.setFleet(currentInterval, m_core.peerTable.knownInstanceCount());
    m_core.fleetLimits.expire(m_core.clock.now());
    m_core.planner.setKnowledgeAge(currentInterval / 2);
    m_core.peerTable.setHeartbeatTimeout(std::max(minSilence, std::chrono::duration_cast<Duration>(currentInterval * silenceIntervals)));
    m_timer.expires_after(currentInterval);
    m_timer.async_wait([this](const error_code& ec) {
        if (!ec)
            tick();
    });
}

} // namespace yuccashift
