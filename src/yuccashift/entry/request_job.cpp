#include "yuccashift/entry/request_job.hpp"

#include "yuccashift/entry/failure_answer.hpp"
#include "yuccashift/entry/forwarding.hpp"
#include "yuccashift/entry/probe_order.hpp"
#include "yuccashift/entry/resumed_stream.hpp"
#include "yuccashift/entry/snapshot_exchange.hpp"
#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/log.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <sstream>
#include <utility>

namespace yuccashift {

namespace {

    constexpr int firstServerFailure = 500;
    /** Unsent bytes of a stream at which reading from the server is paused until the caller catches up. */
    constexpr std::size_t maxUnsentBytes = 256 * 1024;
    /** Limits on the body of a buffered answer that names its length and of one that does not, in bytes. */
    constexpr std::size_t maxBufferedAnswerBytes = 8 << 20;
    constexpr std::size_t maxBufferedBytesWithoutLength = 512 * 1024;
    /** What is kept of an answer beyond this size is counted as memory for connections. */
    constexpr std::size_t maxUncountedBytes = 2 * 1024;
    /** Bytes of the body of a refusal that are read, to reuse its connection. */
    constexpr std::size_t maxRefusalBytes = 64 * 1024;
    /** Time reserved for the answer's way back over a hop, subtracted from the forwarded deadline and objective. */
    constexpr Duration regionHopReturnTime = milliseconds(60);
    constexpr Duration ownerHopReturnTime = milliseconds(5);
    /** For servers of the same region, where connecting takes about 1 ms. */
    constexpr Duration serverConnectTimeout = milliseconds(400);
    constexpr Duration instanceConnectTimeout = milliseconds(600);
    /** A request that must not run twice uses only recently used connections, which are less likely to have been closed by the server. */
    constexpr Duration maxIdleNonRetryable = seconds(3);
    constexpr Duration maxIdleRetryable = seconds(10);
    /** Back-off for an instance after a failed connection or a lost attempt. */
    constexpr Duration instanceBackOff = seconds(1);
    /** Mapping of a route's priority level to the engines' priority, where 0 is served first. */
    constexpr int highestEnginePriority = 2;
    constexpr int enginePriorityStep = 2;
    constexpr int lowestEnginePriority = 9;
    /** A request may wait this long for a slot even if its objective has passed, as long as its deadline leaves four times that. */
    constexpr Duration minLongestSlotWait = milliseconds(250);
    /** Time limit for the answer to a request without a route. */
    constexpr Duration unresolvedTimeLimit = seconds(10);
    /** A prompt that crashes servers does so when its answer begins; one that was answered for this long does not. */
    constexpr Duration soundAnswerTime = milliseconds(500);
    /** No attempt is started with less time left than this. */
    constexpr Duration minAttemptTime = milliseconds(30);
    /** An instance that hears none of the others for this long may be cut off. */
    constexpr Duration maxSilenceInStep = seconds(1);
    /** What a hop between regions takes of the time left, with the time reserved for its way back. */
    constexpr Duration regionHopTime = milliseconds(130);
    constexpr double percent = 100;
    constexpr double permille = 1000;

    /** Identifies a credential in the log without showing it; empty if there is none. */
    std::string shortHashOf(std::string_view credential)
    {
        constexpr std::size_t shownDigits = 8;
        return credential.empty() ? std::string() : sha256Hex(credential).substr(0, shownDigits);
    }

    int enginePriority(std::uint32_t priority)
    {
        constexpr std::uint32_t lowestMapped = (lowestEnginePriority - highestEnginePriority + enginePriorityStep - 1) / enginePriorityStep;
        return std::min(lowestEnginePriority, highestEnginePriority + enginePriorityStep * static_cast<int>(std::min(priority, lowestMapped)));
    }

    /** Ids of the shared parts of the prompt, as callers name them, for the log. */
    std::string sharedPartNames(const WorkSize& work)
    {
        std::ostringstream names;
        for (const auto& part : work.sharedParts())
            names << (names.tellp() > 0 ? "," : "") << std::hex << part.id;
        return names.str();
    }

} // namespace

void RequestJob::start(EntryCore& core, std::shared_ptr<InboundExchange> exchange, std::optional<HopMetadata> hop)
{
    const auto job = std::make_shared<RequestJob>(core, std::move(exchange), std::move(hop));
    core.activeRequests.insert(job);
    job->m_exchange->onDisconnect([weak = std::weak_ptr(job)] {
        if (const auto self = weak.lock())
            self->onCallerGone();
    });
    if (job->prepare())
        job->identifyStream();
}

RequestJob::RequestJob(EntryCore& core, std::shared_ptr<InboundExchange> exchange, std::optional<HopMetadata> hop)
    : m_core(core)
    , m_exchange(std::move(exchange))
    , m_hopMetadata(std::move(hop))
    , m_timer(core.io)
    , m_slotTimer(core.io)
{
}

RequestJob::~RequestJob() = default;

Duration RequestJob::timeLeft() const
{
    return std::max(Duration::zero(), m_request.deadline - m_core.clock.now());
}

Duration RequestJob::firstByteTimeLeft() const
{
    return std::max(Duration::zero(), m_request.firstByteDueAt - m_core.clock.now());
}

std::optional<std::string> RequestJob::resumeAfter() const
{
    return m_eventGate.lastId() ? m_eventGate.lastId() : m_request.metadata.resumeAfter;
}

PartHash RequestJob::requestHash() const
{
    if (!m_requestHash) {
        const auto& request = m_exchange->request();
        const auto host = findHeader(request.headers, "Host").value_or("");
        const std::array<std::string_view, 4> fields { request.method, host, request.target, request.body };
        m_requestHash = hashOfPart(hash64(fields));
    }
    return *m_requestHash;
}

std::vector<PartHash> RequestJob::quarantineHashes() const
{
    auto hashes = m_sharedParts;
    hashes.push_back(requestHash());
    return hashes;
}

bool RequestJob::isQuarantined() const
{
    return !m_core.promptQuarantine.empty() && m_core.promptQuarantine.anyQuarantined(quarantineHashes(), m_core.clock.now());
}

Error RequestJob::quarantineError(PartHash found) const
{
    return { ErrorKind::Quarantined, found == requestHash() ? "" : "a part of the prompt has crashed backend servers", {}, {} };
}

Result<void> RequestJob::checkQuarantine()
{
    auto& quarantine = m_core.promptQuarantine;
    if (quarantine.empty())
        return {};
    const auto hashes = quarantineHashes();
    // The origin of a hop has decided already whether this is the one request that is let through.
    const InstanceProbeOrder order(m_core.peerTable, m_core.settings);
    const auto found = quarantine.findQuarantined(hashes, m_core.clock.now(), m_hopMetadata ? nullptr : &order);
    if (found != 0)
        return tl::unexpected(quarantineError(found));
    m_probesQuarantine = quarantine.anyQuarantined(hashes, m_core.clock.now());
    return {};
}

void RequestJob::recordServed()
{
    if (!m_peerInstance.empty())
        return;
    auto& quarantine = m_core.promptQuarantine;
    if (!m_sharedParts.empty())
        quarantine.onSuccess(m_sharedParts, m_core.clock.now());
    if (!quarantine.empty())
        quarantine.onRequestServed(requestHash(), m_core.clock.now());
}

void RequestJob::recordServerLost()
{
    const auto now = m_core.clock.now();
    const bool answeredLong = m_answerMode == AnswerMode::Stream && m_answerBytes > 0 && now - m_answerBeganAt >= soundAnswerTime;
    if (answeredLong)
        m_core.promptQuarantine.onSuccess(m_sharedParts, now);
    else
        m_core.crashConfirmation.add({ m_requestTicket.server, m_sharedParts, requestHash(), m_sentAt, now });
}

bool RequestJob::prepare()
{
    m_request.deadline = m_exchange->arrivedAt() + unresolvedTimeLimit;
    m_request.firstByteDueAt = m_request.deadline;
    const auto resolved = resolve();
    if (!resolved) {
        failWith(resolved.error());
        return false;
    }
    if (m_hopMetadata && m_hopMetadata->streamSoftware)
        m_streamSoftware = StreamSoftware::begunBy(*m_hopMetadata->streamSoftware);
    else if (m_hopMetadata && m_hopMetadata->resumeAfter && m_request.route->kind == RouteKind::Streaming)
        m_streamSoftware = StreamSoftware::begunBy(concludeSoftware(m_core.clock.now() - maxSilenceInStep));
    excludeInstancesByPath();
    armTimeLimit();
    return true;
}

void RequestJob::excludeInstancesByPath()
{
    if (m_hopMetadata || !SnapshotExchange::isItemsPath(m_exchange->request().target))
        return;
    for (const auto* peer : m_core.peerTable.alive()) {
        if (!peer->marksServerAnswers)
            m_triedInstances.insert(peer->instance);
    }
}

void RequestJob::begin()
{
    if (!m_hopMetadata) {
        if (const auto charged = chargeLimit(); !charged)
            return failWith(charged.error());
        m_core.retryBudget.onRequest(m_request.service);
        m_core.regionDemand.onRequest(m_request.allowedRegions());
    }
    dispatch();
}

Result<void> RequestJob::chargeLimit()
{
    const auto* organisation = m_request.organisation;
    if (!organisation || organisation->fleetLimit.perSecond <= 0)
        return {};
    const auto& limit = organisation->fleetLimit;
    const auto decision = m_core.fleetLimits.admit(organisationKey(organisation->name), { limit.perSecond, limit.burst }, m_request.fleetLimitCost, m_core.random->uniformReal(), m_core.clock.now());
    m_core.requestRecorder.recordLimitDecision(organisation->name, m_request.fleetLimitCost, decision);
    m_chargedLimit = decision.admitted();
    if (m_chargedLimit)
        return {};
    logInfo("organisation over its limit", { { "request", m_request.metadata.attemptId }, { "organisation", organisation->name }, { "bound", toString(decision.bound) }, { "cost", std::lround(m_request.fleetLimitCost) }, { "limit", std::lround(limit.perSecond) }, { "share_permille", std::lround(decision.share * permille) }, { "balance", std::lround(decision.balance) }, { "own_demand", std::lround(decision.ownDemand) }, { "fleet_demand", std::lround(decision.fleetDemand) }, { "others_use", std::lround(decision.othersUse) }, { "oldest_report_ms", toMilliseconds(decision.oldestReport) }, { "retry_after_ms", toMilliseconds(decision.retryAfter) } });
    return tl::unexpected(Error { ErrorKind::LimitExceeded, {}, {}, decision.retryAfter });
}

void RequestJob::giveLimitBack()
{
    if (std::exchange(m_chargedLimit, false))
        m_core.fleetLimits.giveBack(organisationKey(m_request.organisation->name), m_request.fleetLimitCost, m_core.clock.now());
}

void RequestJob::identifyStream()
{
    const auto& metadata = m_request.metadata;
    if (m_hopMetadata || !metadata.resumeAfter || m_request.route->kind != RouteKind::Streaming)
        return begin();
    const auto now = m_core.clock.now();
    if (!metadata.resumedAttempt)
        return onStreamIdentified(0, now - maxSilenceInStep);
    // A record goes before any conclusion: this instance may be out of step without having noticed it yet. What it
    // hears in the second half of the search was sent after the question, not before a pause of this process.
    const auto heardSince = now + StreamOrigins::lookupTimeout / 2;
    m_core.streamOrigins.find(*metadata.resumedAttempt, [weak = weak_from_this(), heardSince](SoftwareId software) {
        if (const auto self = weak.lock())
            self->onStreamIdentified(software, heardSince);
    });
}

SoftwareId RequestJob::concludeSoftware(Instant heardSince) const
{
    if (!isInStep(m_core.fleetState, m_core.peerTable, heardSince))
        return 0;
    return softwareWithoutRecord(m_core.fleetState, *m_request.route, m_core.clock.now());
}

void RequestJob::onStreamIdentified(SoftwareId software, Instant heardSince)
{
    const auto self = shared_from_this();
    if (m_done)
        return;
    const bool recorded = software != 0;
    if (!recorded)
        software = concludeSoftware(heardSince);
    const auto& ages = m_core.fleetState.streamAges();
    const auto now = m_core.clock.now();
    logInfo("caller resumes a stream", { { "request", m_request.metadata.attemptId }, { "resumes", m_request.metadata.resumedAttempt.value_or("") }, { "after_event", *m_request.metadata.resumeAfter }, { "software_known", software != 0 ? 1 : 0 }, { "recorded", recorded ? 1 : 0 }, { "in_step", isInStep(m_core.fleetState, m_core.peerTable, heardSince) ? 1 : 0 }, { "longest_age_ms", toMilliseconds(ages.longestAge(*m_request.route, now)) }, { "unknown_config", ages.mayBeOfUnknownConfig(now) ? 1 : 0 } });
    m_streamSoftware = StreamSoftware::begunBy(software);
    const auto* service = serviceWith(m_core.fleetState, *m_request.route, software);
    if (!service)
        return failWith({ ErrorKind::SoftwareUnavailable, software == 0 ? "the software that began the stream is not known" : "", {}, {} });
    m_request.service = *service;
    begin();
}

Result<void> RequestJob::resolve()
{
    const auto& request = m_exchange->request();
    auto metadata = m_core.protocol.decodeRequest(request);
    m_request.metadata.attemptId = metadata.attemptId;
    auto resolved = resolveRequest(request, std::move(metadata), m_core.fleetState.routes(), m_core.settings.region, m_hopMetadata ? &*m_hopMetadata : nullptr, m_exchange->arrivedAt());
    if (!resolved && resolved.error().kind == ErrorKind::Unauthenticated)
        return tl::unexpected(credentialError(shortHashOf(m_core.protocol.decodeRequest(request).credential)));
    if (!resolved)
        return tl::unexpected(resolved.error());
    m_request = std::move(*resolved);
    if (m_core.shutdown && m_core.shutdown->mustRefuse(m_core.clock.now(), m_request.deadline))
        return fail(ErrorKind::Draining);
    for (const auto& part : m_request.metadata.work.sharedParts())
        m_sharedParts.push_back(hashOfPart(part.id));
    if (auto checked = checkQuarantine(); !checked)
        return checked;
    if (!m_hopMetadata && m_request.metadata.deadline)
        m_core.fleetState.onCallerDeadline(*m_request.route, *m_request.metadata.deadline);
    return {};
}

Error RequestJob::credentialError(std::string_view credentialId) const
{
    const auto version = m_core.fleetState.configVersion();
    const auto newest = m_core.peerTable.newestConfigVersion();
    // A credential that was added a moment ago may be in a newer configuration, and callers do not retry after a 401.
    const bool mayBeNew = newest > version || !m_core.fleetState.replica().awaitedValues().empty();
    logInfo("credential not known", { { "request", m_request.metadata.attemptId }, { "credential_hash", credentialId }, { "config", version }, { "newest_config_heard", newest }, { "refused_for_good", mayBeNew ? 0 : 1 } });
    if (mayBeNew)
        return { ErrorKind::NotReady, "a newer configuration may hold the credential", {}, {} };
    return { ErrorKind::Unauthenticated, {}, {}, {} };
}

void RequestJob::armTimeLimit()
{
    m_timer.expires_at(m_request.deadline);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self)
            self->onTimeLimit();
    });
}

bool RequestJob::acceptHere(const LocalPlan& local)
{
    m_acceptedHere = true;
    const auto& request = m_request;
    const auto* basis = assignedServer() == 0 ? m_core.acceptance.basisFor(request.service) : nullptr;
    if (!basis || !request.allowedRegions().allows(m_core.settings.region))
        return true;
    const auto& work = request.metadata.work;
    const auto cached = local.choice.best ? local.candidates[*local.choice.best].cachedTokens : 0;
    const auto onTheWay = m_hopMetadata ? regionHopTime : Duration::zero();
    const auto level = acceptanceLevel(work.priority, comesBackAsTold(request.route->timeLimit, request.deadline - m_exchange->arrivedAt() + onTheWay, request.route->latencyObjective));
    m_core.promptDemand.record(request.service, level, promptTime(work.promptTokens, cached));
    m_acceptance = { basis->shares[level], basis->shares[acceptanceLevel(work.priority, true)], std::accumulate(basis->demand.begin(), basis->demand.begin() + static_cast<std::ptrdiff_t>(level) + 1, 0.0), basis->room };
    // What has begun is not broken off for newcomers, and what may have run cannot be refused.
    if (!m_streamSoftware.begun() && !m_mayHaveRun)
        m_acceptedHere = basis->shares[level] >= 1 || m_core.random->uniformReal() < basis->shares[level];
    return *m_acceptedHere;
}

void RequestJob::dropRegionsWithoutRoom(RemotePlan& remote)
{
    if (remote.candidates.empty() || m_streamSoftware.begun() || m_mayHaveRun)
        return;
    if (!m_remoteDraw)
        m_remoteDraw = m_core.random->uniformReal();
    RemotePlan kept;
    for (std::size_t i = 0; i < remote.peers.size(); ++i) {
        const auto& capacity = remote.peers[i]->capacityByService.at(m_request.service);
        const auto share = capacity.acceptedShare[std::min(m_request.metadata.work.priority, priorityLevels - 1)];
        if (m_refusedRegions.contains(remote.peers[i]->region) || *m_remoteDraw >= offeredShare(share))
            continue;
        kept.candidates.push_back(remote.candidates[i]);
        kept.peers.push_back(remote.peers[i]);
    }
    m_regionsWithoutRoom = m_regionsWithoutRoom || kept.peers.size() < remote.peers.size();
    remote = std::move(kept);
}

RequestJob::Plan RequestJob::plan()
{
    Plan plan;
    const auto allowed = m_request.allowedRegions();
    const auto prefixHome = assignedServer() == 0 ? m_core.planner.prefixHome(allowed, m_request.service, m_request.metadata.work) : std::nullopt;
    if (assignedServer() != 0)
        plan.local = m_core.planner.planAt(assignedServer(), m_request.service, m_request.metadata.work);
    else if (allowed.allows(m_core.settings.region))
        plan.local = m_core.planner.planLocal(m_request.service, m_request.metadata.work, firstByteTimeLeft(), m_triedServers, m_streamSoftware, prefixHome);
    if (!m_hopMetadata)
        plan.remote = m_core.planner.planRemote(allowed, m_request.service, m_request.metadata.work, m_triedInstances, m_streamSoftware, plan.local, prefixHome);
    dropRegionsWithoutRoom(plan.remote);
    PlacementInput input;
    input.acceptedHere = m_streamSoftware.begun() || m_mayHaveRun || m_acceptedHere.value_or(true);
    if (plan.local.choice.best)
        input.localTimeToFirstByte = plan.local.choice.predicted;
    input.prefixPrefillTime = plan.local.prefixPrefillTime;
    input.reachesNoServer = plan.local.reachesNone();
    input.remotes = plan.remote.candidates;
    input.idleTimeToFirstByte = predictIdleTimeToFirstByte(m_request.routes->config().serviceConfig(m_request.service).engine, m_request.metadata.work);
    input.objective = firstByteTimeLeft();
    input.deadline = timeLeft();
    plan.placement = place(input);
    // What goes to another region for its own sake is demand there.
    if (plan.placement.action != Placement::Action::Remote && !m_acceptedHere && !acceptHere(plan.local)) {
        input.acceptedHere = false;
        plan.placement = place(input);
    }
    const bool tooLate = m_hopMetadata && m_hopMetadata->acceptWithin && plan.placement.predicted > *m_hopMetadata->acceptWithin;
    if (tooLate)
        plan.placement.action = Placement::Action::Refuse;
    return plan;
}

void RequestJob::dispatch()
{
    if (m_done)
        return;
    if (timeLeft() < minAttemptTime)
        return onTimeLimit();
    // The request may have waited while its quarantine began.
    if (!m_probesQuarantine) {
        if (auto checked = checkQuarantine(); !checked)
            return failWith(checked.error());
    }
    executePlan(plan());
}

void RequestJob::executePlan(const Plan& plan)
{
    // The close may wait unread behind what this instance is busy with.
    if (m_exchange->checkDisconnected()) {
        m_core.requestRecorder.recordLeftBeforeSend();
        return;
    }
    switch (plan.placement.action) {
    case Placement::Action::Local:
        if (const auto* owner = assignedServer() == 0 ? m_core.planner.remoteOwner(*plan.local.server(), m_triedInstances) : nullptr)
            return sendToOwner(*owner, plan.local);
        return sendToServer(plan.local);
    case Placement::Action::Remote:
        return sendToRegion(*plan.remote.peers[plan.placement.remoteIndex], plan.placement.predicted);
    case Placement::Action::Refuse:
        if (m_acceptedHere.value_or(true) && waitForSlot(plan.local))
            return;
        break;
    }
    const bool anyCandidate = plan.local.choice.best || !plan.remote.candidates.empty() || m_regionsWithoutRoom;
    const bool softwareGone = !anyCandidate && m_streamSoftware.begun() && !m_core.planner.canContinue(m_request.allowedRegions(), m_request.service, m_streamSoftware);
    Error error { anyCandidate ? ErrorKind::Overloaded : softwareGone ? ErrorKind::SoftwareUnavailable
                                                                      : ErrorKind::NoBackend,
        {}, {}, {} };
    error.runState = m_mayHaveRun ? RunState::OutcomeUnknown : RunState::NotRun;
    if (plan.remote.candidates.empty())
        error.retryAfter = plan.local.restFor;
    if (m_acceptance && !m_hopMetadata && !error.retryAfter) {
        const auto back = returnTime(m_acceptance->shareOfReturning, m_request.route->latencyObjective, timeLeft());
        error.retryAfter = back.earliest;
        error.retryBefore = back.latest;
    }
    logInfo("refused", { { "request", m_request.metadata.attemptId }, { "organisation", m_request.organisation ? m_request.organisation->name : OrganisationName() }, { "reason", error.code() }, { "predicted_ms", toMilliseconds(plan.placement.predicted) }, { "objective_ms", toMilliseconds(firstByteTimeLeft()) }, { "left_ms", toMilliseconds(timeLeft()) }, { "servers", plan.local.servers.size() }, { "usable", plan.local.choice.usable }, { "passed_over", plan.local.choice.rejectSummary() }, { "regions", plan.remote.candidates.size() }, { "accepted_here", m_acceptedHere.value_or(true) ? 1 : 0 }, { "accept_percent", m_acceptance ? std::lround(percent * m_acceptance->share) : 0 }, { "demand_engines", m_acceptance ? std::lround(m_acceptance->demand) : 0 }, { "room_engines", m_acceptance ? std::lround(m_acceptance->room) : 0 }, { "told_ms_ago", toMilliseconds(m_core.promptDemand.reportAge()) } });
    failWith(error);
}

bool RequestJob::waitForSlot(const LocalPlan& plan)
{
    // The origin of a request for an assigned server can choose another one.
    if (!plan.slotWait || assignedServer() != 0)
        return false;
    const auto now = m_core.clock.now();
    if (!m_slotWaitEndsAt) {
        const auto longest = std::min<Duration>(std::max<Duration>(minLongestSlotWait, firstByteTimeLeft() / 2), timeLeft() / 4);
        m_slotWaitEndsAt = now + longest;
        logInfo("waiting for a slot", { { "request", m_request.metadata.attemptId }, { "servers", plan.servers.size() }, { "longest_ms", toMilliseconds(longest) } });
    }
    if (now + *plan.slotWait > *m_slotWaitEndsAt)
        return false;
    // Requests that wait for the same server ask again one after another.
    const auto spread = std::chrono::duration_cast<Duration>(*plan.slotWait * m_core.random->uniformReal());
    m_slotTimer.start(*plan.slotWait + spread, [this] { dispatch(); });
    return true;
}

void RequestJob::sendToServer(const LocalPlan& plan)
{
    const auto& server = *plan.server();
    const auto& candidate = plan.candidates[*plan.choice.best];
    ServerRequestMetadata metadata;
    metadata.serverId = server.identity.id;
    metadata.deadline = std::chrono::duration_cast<milliseconds>(timeLeft());
    if (candidate.engine)
        metadata.priority = enginePriority(m_request.priority());
    metadata.resumeAfter = resumeAfter();
    if (m_request.organisation)
        metadata.organisation = m_request.organisation->name;
    std::string headers;
    m_core.protocol.appendServerMetadata(headers, metadata);

    OutboundRequest request;
    request.endpoint = server.address;
    request.poolKey = poolKeyOf(server);
    request.bytes = forwardedRequest(m_exchange->request(), m_core.protocol, m_request.callerIdentity(), headers);
    request.maxIdleAge = m_request.route->retryable() ? maxIdleRetryable : maxIdleNonRetryable;
    request.connectTimeout = serverConnectTimeout;
    request.ownerOf = [&protocol = m_core.protocol, id = m_request.metadata.attemptId](const AnswerHead& head) {
        const auto echoed = protocol.decodeAnswer(head).attemptId;
        if (!echoed)
            return AnswerOwner::Unnamed;
        return *echoed == id ? AnswerOwner::ThisRequest : AnswerOwner::AnotherRequest;
    };
    const auto uncachedTokens = m_request.metadata.work.promptTokens - std::min(m_request.metadata.work.promptTokens, candidate.cachedTokens);
    m_requestTicket = m_core.serverTracker.onSend(server.identityHash, { m_request.metadata.work, uncachedTokens, plan.choice.predicted, candidate.slowness, candidate.engine, candidate.memoryTokens, candidate.slots });
    if (candidate.cold)
        m_core.serverTracker.recordColdSend(server.identityHash);
    m_core.serverTracker.constraints().onSend(server.identityHash);
    m_triedServers.insert(server.identityHash);
    m_serverId = server.identity.id;
    m_serverPoolKey = request.poolKey;
    m_attemptSoftware = server.software;
    m_peerInstance.clear();
    m_serverOfHop = 0;
    m_sentAt = m_core.clock.now();
    m_predictedFirstByte = plan.choice.predicted;
    m_answerMode = AnswerMode::None;
    m_framing = {};
    ++m_attempts;
    m_core.requestRecorder.recordServerSend(m_request.metadata.work.promptTokens, candidate.cachedTokens);
    if (!m_request.metadata.work.sharedParts().empty())
        m_core.requestRecorder.recordPrefixServer(candidate.prefixRank);
    logInfo("sent to server", { { "request", m_request.metadata.attemptId }, { "server", m_serverId }, { "software", server.softwareVersion }, { "resume_after", metadata.resumeAfter.value_or("") }, { "predicted_ms", toMilliseconds(plan.choice.predicted) }, { "slowness_percent", std::lround(candidate.slowness * 100) }, { "prompt", m_request.metadata.work.promptTokens }, { "prefix", m_request.metadata.work.sharedParts().empty() ? 0 : m_request.metadata.work.sharedParts().back().id }, { "cached_prompt", candidate.cachedTokens }, { "prefix_rank", candidate.prefixRank }, { "requests", candidate.load.requests }, { "runner_up", plan.choice.runnerUp ? plan.servers[*plan.choice.runnerUp]->identity.id : std::string() }, { "runner_up_ms", toMilliseconds(plan.choice.runnerUpPredicted) } });
    m_outbound = m_core.serverConnections.start(std::move(request), *this);
}

HopMetadata RequestJob::hopMetadata(Duration returnTime) const
{
    HopMetadata metadata;
    metadata.origin = m_core.settings.instance;
    metadata.configVersion = m_request.routes->config().version;
    metadata.service = m_request.service;
    metadata.deadline = std::chrono::duration_cast<milliseconds>(std::max(Duration::zero(), timeLeft() - returnTime));
    metadata.objective = std::chrono::duration_cast<milliseconds>(std::max(Duration::zero(), firstByteTimeLeft() - returnTime));
    metadata.resumeAfter = resumeAfter();
    if (m_streamSoftware.begun())
        metadata.streamSoftware = m_streamSoftware.software();
    if (m_request.organisation)
        metadata.organisation = m_request.organisation->name;
    return metadata;
}

void RequestJob::sendToOwner(const PeerState& owner, const LocalPlan& plan)
{
    const auto& server = *plan.server();
    auto metadata = hopMetadata(ownerHopReturnTime);
    metadata.server = server.identityHash;
    metadata.acceptWithin = std::chrono::duration_cast<milliseconds>(ownerQueueLimit(m_request.route->latencyObjective));
    m_core.serverTracker.constraints().onSend(server.identityHash);
    m_attemptSoftware = server.software;
    startHop(owner, metadata, plan.choice.predicted);
}

void RequestJob::sendToRegion(const PeerState& peer, Duration predicted)
{
    m_core.peerTable.onHopStarted(peer.instance);
    m_regionHopInProgress = true;
    m_triedInstances.insert(peer.instance);
    m_attemptSoftware = 0;
    startHop(peer, hopMetadata(peer.region == m_core.settings.region ? ownerHopReturnTime : regionHopReturnTime), predicted);
}

void RequestJob::startHop(const PeerState& member, const HopMetadata& metadata, Duration predicted)
{
    std::string headers;
    appendHopMetadata(headers, metadata);
    OutboundRequest request;
    request.endpoint = { member.ip, m_core.settings.peerPort };
    request.poolKey = member.instance + "|" + std::to_string(member.incarnation);
    request.bytes = forwardedRequest(m_exchange->request(), m_core.protocol, m_request.callerIdentity(), headers);
    request.maxIdleAge = m_request.route->retryable() ? maxIdleRetryable : maxIdleNonRetryable;
    request.connectTimeout = instanceConnectTimeout;
    m_peerInstance = member.instance;
    m_serverOfHop = metadata.server;
    m_hopMarksAnswers = member.marksServerAnswers;
    m_serverId.clear();
    m_sentAt = m_core.clock.now();
    m_predictedFirstByte = predicted;
    m_answerMode = AnswerMode::None;
    m_framing = {};
    ++m_attempts;
    m_core.requestRecorder.recordHopSend(request.bytes.size());
    logInfo("sent to instance", { { "request", m_request.metadata.attemptId }, { "peer", member.instance }, { "region", member.region }, { "server", metadata.server }, { "predicted_ms", toMilliseconds(predicted) } });
    m_outbound = m_core.peerConnections.start(std::move(request), *this);
}

void RequestJob::onAnswerHead(const AnswerHead& head)
{
    const auto self = shared_from_this();
    m_framing = toString(head.framing);
    m_refusalBytes = 0;
    m_core.requestRecorder.recordAnswer(head.framing);
    if (!m_peerInstance.empty()) {
        m_hopFailure = decodeHopFailure(head);
        if (m_hopFailure) {
            m_answerMode = AnswerMode::HopFailure;
            return;
        }
        if (isOfUnknownSource(head))
            return onAnswerFailure(OutboundFailure::Lost, "the instance does not say that a server gave the answer");
    }
    const auto facts = m_core.protocol.decodeAnswer(head);
    if (m_peerInstance.empty() && !facts.wrongServer)
        m_core.crashConfirmation.onAnswer(m_requestTicket.server, m_sentAt);
    const auto answering = m_peerInstance.empty() ? m_requestTicket.server : m_serverOfHop;
    if (answering != 0 && !facts.wrongServer && m_core.serverTracker.constraints().onAnswer(answering, facts.statement))
        m_core.serverConnections.closeIdle(m_serverPoolKey);
    if (facts.notRun) {
        m_answerMode = AnswerMode::NotRun;
        if (!m_peerInstance.empty())
            return;
        // A later copy of a refusal that names no request would pass for the refusal of the next request.
        if (!facts.attemptId)
            m_outbound->closeAfterAnswer();
        if (facts.wrongServer) {
            logWarning("another server has the address", { { "request", m_request.metadata.attemptId }, { "server", m_serverId } });
            m_core.serverTracker.markSuspect(m_requestTicket.server);
        } else {
            m_core.serverTracker.markFull(m_requestTicket.server, m_core.planner.backOffAfterRefusal(m_requestTicket.server));
        }
        return;
    }
    m_mayHaveRun = true;
    m_head = head;
    m_answerBytes = 0;
    const bool mayBeStream = isEventStream(head) || !findHeader(head.headers, "Content-Type");
    const bool stream = head.status < 300 && m_request.route->kind == RouteKind::Streaming && mayBeStream;
    m_answerMode = stream ? AnswerMode::Stream : AnswerMode::Buffered;
    if (stream && m_attemptSoftware == 0) {
        // A backend server does not speak for an instance.
        const auto named = m_peerInstance.empty() ? SoftwareId { 0 } : decodeServerSoftware(head);
        const auto now = m_core.clock.now();
        const bool concludes = named == 0 && isInStep(m_core.fleetState, m_core.peerTable, now - maxSilenceInStep);
        m_attemptSoftware = concludes ? presumedSoftware(m_core.fleetState, *m_request.route, m_request.service, now) : named;
    }
}

void RequestJob::onAnswerBody(std::string_view data)
{
    const auto self = shared_from_this();
    recordAnswerData(data.size());
    switch (m_answerMode) {
    case AnswerMode::Buffered:
        m_body.append(data);
        if (m_body.size() > (m_head.length ? maxBufferedAnswerBytes : maxBufferedBytesWithoutLength))
            return onAnswerFailure(OutboundFailure::Truncated, "the answer exceeds its limit");
        return holdAnswer();
    case AnswerMode::Stream:
        m_core.serverTracker.onFirstByte(m_requestTicket);
        m_core.serverTracker.onStreamChunk(m_requestTicket);
        return forwardStreamData(data);
    case AnswerMode::NotRun:
    case AnswerMode::HopFailure:
        m_refusalBytes += data.size();
        if (m_refusalBytes <= maxRefusalBytes)
            return;
        m_outbound.reset();
        return onAnswerEnd();
    case AnswerMode::None:
        return;
    }
}

void RequestJob::recordAnswerData(std::size_t bytes)
{
    if (!m_peerInstance.empty())
        m_core.requestRecorder.recordHopBytesReceived(bytes);
    if (m_answerMode != AnswerMode::Stream && m_answerMode != AnswerMode::Buffered)
        return;
    const auto now = m_core.clock.now();
    if (m_answerBytes == 0)
        m_answerBeganAt = now;
    m_answerBytes += bytes;
    if (m_firstByteAt == Instant {}) {
        m_firstByteAt = now;
        m_core.requestRecorder.recordPredictionError(m_predictedFirstByte, now - m_sentAt);
    } else if (m_answerMode == AnswerMode::Stream) {
        m_core.requestRecorder.recordStreamGap(now - m_lastDataAt);
    }
    m_lastDataAt = now;
}

bool RequestJob::isOfUnknownSource(const AnswerHead& head) const
{
    return m_hopMarksAnswers && !isMarkedAsServerAnswer(head);
}

AnswerHead RequestJob::answerHead() const
{
    auto head = forwardedHead(m_head);
    if (m_hopMetadata)
        head.headers.push_back(serverAnswerMark());
    return head;
}

void RequestJob::sendStreamHead()
{
    if (m_exchange->headSent())
        return;
    auto head = answerHead();
    if (m_hopMetadata)
        head.headers.push_back(encodeServerSoftware(m_attemptSoftware));
    m_exchange->sendHead(head);
}

void RequestJob::forwardStreamData(std::string_view data)
{
    std::string completeEvents;
    m_eventGate.feed(data, completeEvents);
    if (m_eventGate.incompleteEvent().size() > maxEventBytes)
        return onAnswerFailure(OutboundFailure::Truncated, "an event exceeds its limit");
    if (m_request.route->retryable())
        data = completeEvents;
    if (data.empty())
        return holdAnswer();
    if (!m_streamSoftware.begun())
        onFirstEvents();
    sendStreamHead();
    m_exchange->sendBody(data);
    if (m_done || m_exchange->unsentBytes() < maxUnsentBytes || !m_outbound)
        return;
    m_outbound->pause();
    m_exchange->onDrained([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_outbound)
            self->m_outbound->resume();
    });
}

void RequestJob::holdAnswer()
{
    const auto bytes = m_body.capacity() + m_eventGate.incompleteEvent().size();
    if (bytes <= maxUncountedBytes)
        return;
    if (!m_answerMemory) {
        m_answerMemory.emplace(m_core.memory, MemoryUse::Answers);
        m_answerMemory->setOwner(weak_from_this());
    }
    if (!m_answerMemory->resize({ bytes, true, m_core.clock.now() }))
        onAnswerFailure(OutboundFailure::Truncated, "no memory for the answer");
}

void RequestJob::releaseAnswer()
{
    m_body = {};
    m_answerMemory.reset();
}

void RequestJob::evict()
{
    boost::asio::post(m_core.io, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->m_done && self->m_answerMode != AnswerMode::None && self->m_answerMemory)
            self->onAnswerFailure(OutboundFailure::Truncated, "its memory is needed for others");
    });
}

void RequestJob::onFirstEvents()
{
    m_streamSoftware.onEvents(m_attemptSoftware);
    if (!m_request.route->resumable)
        return;
    if (m_hopMetadata)
        m_core.streamOrigins.record(m_request.metadata.attemptId, m_attemptSoftware);
    else
        m_core.streamOrigins.publish(m_request.metadata.attemptId, m_attemptSoftware);
}

void RequestJob::onAnswerEnd()
{
    const auto self = shared_from_this();
    switch (m_answerMode) {
    case AnswerMode::Buffered:
        return onBufferedAnswer();
    case AnswerMode::Stream:
        return onStreamEnd();
    case AnswerMode::NotRun:
        return onNotRun();
    case AnswerMode::HopFailure:
        return onHopFailure();
    case AnswerMode::None:
        return;
    }
}

void RequestJob::onBufferedAnswer()
{
    if (isEventStream(m_head) && endsInsideEvent(m_body))
        return onAnswerFailure(OutboundFailure::Truncated, "the stream ends inside an event");
    m_core.serverTracker.onFirstByte(m_requestTicket);
    const bool failed = m_head.status >= firstServerFailure;
    if (!failed)
        recordServed();
    endAttempt(failed ? ServerOutcome::Failed : ServerOutcome::Succeeded);
    if (failed && m_serverOfHop != 0)
        m_triedServers.insert(m_serverOfHop);
    if (failed && m_request.route->retryable() && retry("the server answered with a failure"))
        return;
    if (m_exchange->headSent()) {
        m_exchange->abort();
        return finish("broken_off");
    }
    // Callers take these statuses as proof that the request has not run. A server's plain status does not
    // prove it; proof arrives as AnswerMode::NotRun and is handled in onNotRun().
    const auto status = m_head.status;
    if (!m_request.route->retryable() && (status == 503 || status == 429 || status == 408 || status == 421))
        return failWith({ ErrorKind::BackendLost, "the server's refusal does not say whether it ran", RunState::OutcomeUnknown, {} });
    auto head = answerHead();
    // The length that a server states to HEAD is that of another answer.
    if (m_exchange->request().method == "HEAD")
        head.length = m_head.length;
    m_exchange->sendComplete(std::move(head), m_body);
    releaseAnswer();
    if (failed)
        return finish("server_failure", "the server answered with status " + std::to_string(status));
    finish("ok");
}

void RequestJob::onStreamEnd()
{
    // The close of a connection ends an answer without length or chunks, also if the server crashed. Only its last event shows that it is whole.
    if (m_answerBytes == 0 && m_head.framing == AnswerFraming::Connection)
        return onAnswerFailure(OutboundFailure::Truncated, "the connection ended before the first event of the stream");
    if (m_eventGate.endsInsideEvent())
        return onAnswerFailure(OutboundFailure::Truncated, "the stream ends inside an event");
    recordServed();
    endAttempt(ServerOutcome::Succeeded);
    sendStreamHead();
    if (m_request.route->retryable())
        m_exchange->sendBody(std::string(m_eventGate.incompleteEvent()));
    m_exchange->finish();
    finish("ok");
}

void RequestJob::onNotRun()
{
    endAttempt(ServerOutcome::Rejected);
    if (retry("the server refused"))
        return;
    const bool mayHaveRun = m_mayHaveRun;
    const Error error { ErrorKind::Overloaded, {}, mayHaveRun ? RunState::OutcomeUnknown : RunState::NotRun, {} };
    failWith(error);
}

void RequestJob::onHopFailure()
{
    endAttempt(ServerOutcome::Abandoned);
    const auto failure = *std::exchange(m_hopFailure, std::nullopt);
    const auto& error = failure.error;
    if (error.effectiveRunState() != RunState::NotRun)
        m_mayHaveRun = true;
    if (!failure.reachedServer) {
        --m_attempts;
        ++m_refusedHops;
    }
    logInfo("forwarded request failed", { { "request", m_request.metadata.attemptId }, { "peer", m_peerInstance }, { "server", m_serverOfHop }, { "reason", error.code() }, { "run_state", toString(error.effectiveRunState()) }, { "reached_server", failure.reachedServer ? 1 : 0 } });
    // An owner that is about to stop or lacks the configuration says nothing about its server.
    // For a stream that has begun, it may only lack servers of the stream's software.
    if (error.kind == ErrorKind::NoBackend && m_serverOfHop == 0 && !m_streamSoftware.begun())
        m_core.peerTable.onNoCapacity(m_peerInstance, m_request.service);
    const auto* peer = m_core.peerTable.find(m_peerInstance);
    if (error.kind == ErrorKind::Overloaded && m_serverOfHop == 0 && peer && !failure.reachedServer && m_core.acceptance.basisFor(m_request.service))
        m_refusedRegions.insert(peer->region);
    if (error.kind == ErrorKind::Draining || error.kind == ErrorKind::NotReady)
        m_triedInstances.insert(m_peerInstance);
    else if (m_serverOfHop != 0)
        m_triedServers.insert(m_serverOfHop);
    const auto recovery = recoverFromHop(failure, m_request.route->retryable(), m_refusedHops);
    if (recovery == HopRecovery::SendOn) {
        // The hop has ended and counts no longer as sent.
        m_outbound.reset();
        return dispatch();
    }
    if (recovery != HopRecovery::Retry || !retry(error.code()))
        failWith(error);
}

void RequestJob::onAnswerFailure(OutboundFailure failure, std::string_view reason)
{
    const auto self = shared_from_this();
    const bool viaInstance = !m_peerInstance.empty();
    logInfo("attempt failed", { { "request", m_request.metadata.attemptId }, { "server", m_serverId }, { "peer", m_peerInstance }, { "how", toString(failure) }, { "reason", reason }, { "framing", m_framing }, { "events", m_eventGate.events() }, { "shared_parts", sharedPartNames(m_request.metadata.work) }, { "after_ms", toMilliseconds(m_core.clock.now() - m_sentAt) } });
    if (m_answerMode == AnswerMode::NotRun)
        return onNotRun();
    if (m_answerMode == AnswerMode::HopFailure)
        return onHopFailure();
    if (failure == OutboundFailure::NotSent) {
        --m_attempts;
        if (viaInstance) {
            m_core.peerTable.backOff(m_peerInstance, instanceBackOff);
            m_triedInstances.insert(m_peerInstance);
        } else {
            m_core.serverTracker.markSuspect(m_requestTicket.server);
            m_core.serverConnections.closeIdle(m_serverPoolKey);
        }
        endAttempt(ServerOutcome::Lost);
        m_outbound.reset();
        return dispatch();
    }
    onConnectionLost(failure, reason);
}

void RequestJob::onConnectionLost(OutboundFailure failure, std::string_view reason)
{
    m_mayHaveRun = true;
    if (m_peerInstance.empty()) {
        const auto server = m_requestTicket.server;
        // A silent link says nothing of what the request does to the server's process.
        if (failure == OutboundFailure::Silent)
            m_core.serverConnections.closeIdle(m_serverPoolKey);
        else
            recordServerLost();
        endAttempt(ServerOutcome::Lost);
        m_core.requestProbe(server);
    } else {
        endAttempt(ServerOutcome::Lost);
        // After the head, it is rather the server's answer that broke off.
        if (m_answerMode == AnswerMode::None)
            m_core.peerTable.backOff(m_peerInstance, instanceBackOff);
        if (m_serverOfHop != 0)
            m_triedServers.insert(m_serverOfHop);
    }
    if (m_request.route->retryable() && retry(reason))
        return;
    const auto kind = failure == OutboundFailure::Truncated ? ErrorKind::AnswerIncomplete : m_peerInstance.empty() ? ErrorKind::BackendLost
                                                                                                                   : ErrorKind::PeerLost;
    failWith({ kind, {}, RunState::OutcomeUnknown, {} });
}

bool RequestJob::retry(std::string_view why)
{
    // Only the instance that received the request from the caller retries, since it knows all attempts.
    const bool allowed = !m_hopMetadata && m_attempts < m_request.route->maxAttempts && timeLeft() > minAttemptTime;
    if (!allowed || isQuarantined())
        return false;
    const auto next = plan();
    // If no server can take the retry, the caller gets the answer that has already arrived.
    if (next.placement.action == Placement::Action::Refuse || !m_core.retryBudget.tryRetry(m_request.service))
        return false;
    m_core.requestRecorder.recordRetry();
    logInfo("request retried", { { "request", m_request.metadata.attemptId }, { "why", why }, { "attempt", m_attempts + 1 }, { "after_event", m_eventGate.lastId().value_or("") } });
    m_eventGate.discardIncompleteEvent();
    releaseAnswer();
    m_outbound.reset();
    executePlan(next);
    return true;
}

void RequestJob::endAttempt(ServerOutcome outcome)
{
    if (std::exchange(m_regionHopInProgress, false))
        m_core.peerTable.onHopEnded(m_peerInstance);
    m_core.serverTracker.onComplete(m_requestTicket, outcome);
}

void RequestJob::onTimeLimit()
{
    if (m_done)
        return;
    const Error error { ErrorKind::DeadlineExceeded, {}, runStateOfAttempt(), {} };
    logInfo("deadline exceeded", { { "request", m_request.metadata.attemptId }, { "server", m_serverId }, { "peer", m_peerInstance }, { "events", m_eventGate.events() }, { "head_seen", m_answerMode != AnswerMode::None ? 1 : 0 } });
    failWith(error);
}

RunState RequestJob::runStateOfAttempt() const
{
    return m_mayHaveRun || (m_outbound && m_outbound->sent()) ? RunState::OutcomeUnknown : RunState::NotRun;
}

void RequestJob::endAll(EntryCore& core)
{
    // Requests that end leave the set.
    const std::vector<std::shared_ptr<RequestJob>> jobs(core.activeRequests.begin(), core.activeRequests.end());
    for (const auto& it : jobs)
        it->onProcessEnds();
}

void RequestJob::onProcessEnds()
{
    if (m_done)
        return;
    logInfo("request ended with the process", { { "request", m_request.metadata.attemptId }, { "server", m_serverId }, { "peer", m_peerInstance }, { "events", m_eventGate.events() }, { "left_ms", toMilliseconds(timeLeft()) } });
    failWith({ ErrorKind::Draining, {}, runStateOfAttempt(), {} });
}

void RequestJob::onCallerGone()
{
    const auto self = shared_from_this();
    if (m_done)
        return;
    if (runStateOfAttempt() == RunState::NotRun)
        giveLimitBack();
    m_outbound.reset();
    endAttempt(ServerOutcome::Abandoned);
    finish("caller_gone");
}

void RequestJob::failWith(const Error& lastError)
{
    const auto self = shared_from_this();
    if (m_done)
        return;
    const auto error = withEarlierAttempts(lastError, m_mayHaveRun);
    if (error.effectiveRunState() == RunState::NotRun)
        giveLimitBack();
    m_outbound.reset();
    endAttempt(ServerOutcome::Abandoned);
    if (m_exchange->headSent()) {
        m_exchange->abort();
        return finish("broken_off", reasonOf(error));
    }
    auto answer = failureAnswer(error, timeLeft(), *m_core.random);
    if (m_hopMetadata)
        answer.head.headers.push_back(encodeHopFailure({ error, m_attempts > 0 }));
    m_exchange->sendComplete(std::move(answer.head), answer.body);
    finish(error.code(), reasonOf(error));
}

void RequestJob::recordPromise(const RequestSummary& end)
{
    using Promise = RequestRecorder::Promise;
    const bool taken = m_acceptance && !m_hopMetadata && (m_attempts > 0 || end.outcome == "ok");
    // A caller that leaves early breaks the promise itself.
    if (!taken || (end.outcome == "caller_gone" && m_core.clock.now() < m_request.firstByteDueAt))
        return;
    const bool inTime = end.timeToFirstByte && *end.timeToFirstByte <= m_request.route->latencyObjective;
    m_core.requestRecorder.recordPromise(end.outcome != "ok" ? Promise::Missed : inTime ? Promise::Kept
                                                                                        : Promise::Late);
}

void RequestJob::finish(std::string_view outcome, std::string_view reason)
{
    if (std::exchange(m_done, true))
        return;
    releaseAnswer();
    m_timer.cancel();
    m_slotTimer.cancel();
    const auto arrived = m_exchange->arrivedAt();
    RequestSummary end;
    end.requestId = m_request.metadata.attemptId;
    end.route = m_request.route ? std::string_view(m_request.route->name) : std::string_view();
    if (m_request.organisation)
        end.organisation = m_request.organisation->name;
    end.forwarded = m_hopMetadata.has_value();
    end.outcome = outcome;
    end.reason = reason;
    end.duration = m_core.clock.now() - arrived;
    if (m_firstByteAt != Instant {})
        end.timeToFirstByte = m_firstByteAt - arrived;
    end.server = m_serverId;
    end.peer = m_peerInstance;
    end.framing = m_framing;
    end.incompleteEventBytes = m_eventGate.incompleteEvent().size();
    end.attempts = m_attempts;
    end.configVersion = m_request.routes ? m_request.routes->config().version : 0;
    m_core.requestRecorder.recordEnd(end);
    recordPromise(end);
    // finish() may run inside a callback of the exchange that still uses this job.
    boost::asio::post(m_core.io, [&core = m_core, self = shared_from_this()] {
        self->m_outbound.reset();
        core.activeRequests.erase(self);
    });
}

} // namespace yuccashift
