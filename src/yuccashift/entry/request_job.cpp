#include "yuccashift/entry/request_job.hpp"

#include "yuccashift/entry/failure_answer.hpp"
#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/log.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <cmath>
#include <utility>

namespace yuccashift {

namespace {

    constexpr int firstServerFailure = 500;
    /** Bytes of a stream that may wait for a slow caller before its server is slowed down. */
    constexpr std::size_t mostUnsentBytes = 256 * 1024;
    /** Bytes of an answer that is kept until it is whole. */
    constexpr std::size_t mostWholeBytes = 8 << 20;
    /** Time that an answer takes back over a hop, kept free of the deadline that is passed on. */
    constexpr Duration hopReturn = milliseconds(60);
    /** Connections to servers of the own region; a connection takes about a millisecond. */
    constexpr Duration serverConnectTimeout = milliseconds(400);
    constexpr Duration instanceConnectTimeout = milliseconds(600);
    /** A request that may run once only uses connections that were busy lately, so that none dies under it. */
    constexpr Duration mostIdleOnce = seconds(3);
    constexpr Duration mostIdleRepeatable = seconds(10);
    /** A server that says that it is full is left alone so long. */
    constexpr Duration fullPause = milliseconds(120);
    /** An instance that cannot be connected to is left alone so long. */
    constexpr Duration instancePause = seconds(1);
    /** Urgency of a route's rank at the engines, from first to last. */
    constexpr int urgencyOfRankZero = 2;
    constexpr int urgencyPerRank = 2;
    constexpr int lastUrgency = 9;
    /** Least time for which a send is worth while. */
    constexpr Duration leastUsefulTime = milliseconds(30);

    /** Whether a `Connection` header names another header as one of the connection only. */
    bool connectionNames(std::string_view connection, std::string_view name)
    {
        return boost::algorithm::icontains(connection, name) && !boost::algorithm::iequals(name, "host");
    }

    /** What goes on to the caller: everything but the headers of the server's connection. */
    AnswerHead forwardedHead(const AnswerHead& head)
    {
        AnswerHead out;
        out.status = head.status;
        for (const auto& field : head.headers) {
            if (!isHopByHop(field.name))
                out.headers.push_back(field);
        }
        return out;
    }

} // namespace

void RequestJob::start(EntryCore& core, std::shared_ptr<InboundExchange> exchange, std::optional<HopMetadata> hop)
{
    const auto job = std::make_shared<RequestJob>(core, std::move(exchange), std::move(hop));
    core.activeRequests.insert(job);
    job->m_exchange->onGone([weak = std::weak_ptr(job)] {
        if (const auto self = weak.lock())
            self->onCallerGone();
    });
    if (job->prepare())
        job->dispatch();
}

RequestJob::RequestJob(EntryCore& core, std::shared_ptr<InboundExchange> exchange, std::optional<HopMetadata> hop)
    : m_core(core)
    , m_exchange(std::move(exchange))
    , m_hop(std::move(hop))
    , m_timer(core.io)
{
}

RequestJob::~RequestJob() = default;

Duration RequestJob::timeLeft() const
{
    return std::max(Duration::zero(), m_deadline - m_core.clock.now());
}

Duration RequestJob::objectiveLeft() const
{
    return std::max(Duration::zero(), m_objectiveAt - m_core.clock.now());
}

std::optional<std::string> RequestJob::resumeAfter() const
{
    return m_gate.lastId() ? m_gate.lastId() : m_facts.resumeAfter;
}

std::uint64_t RequestJob::fingerprint() const
{
    const auto& request = m_exchange->request();
    const auto host = findHeader(request.headers, "Host").value_or("");
    const std::array<std::string_view, 4> parts { request.method, host, request.target, request.body };
    return hash64(parts);
}

bool RequestJob::crashesServers() const
{
    return !m_core.crashTracker.empty() && m_core.crashTracker.blocked(fingerprint());
}

bool RequestJob::prepare()
{
    m_deadline = m_exchange->arrivedAt() + seconds(10);
    m_objectiveAt = m_deadline;
    const auto resolved = resolveRoute();
    if (!resolved) {
        failWith(resolved.error());
        return false;
    }
    armTimeLimit();
    if (!m_hop) {
        m_core.retryBudget.onRequest(m_service);
        m_core.regionDemand.onRequest(*m_route);
    }
    return true;
}

Result<void> RequestJob::resolveRoute()
{
    const auto& request = m_exchange->request();
    m_facts = m_core.protocol.decodeRequest(request);
    m_routes = m_core.fleetState.routes();
    if (!m_routes)
        return fail(ErrorKind::NotReady);
    const auto host = findHeader(request.headers, "Host");
    if (!host)
        return fail(ErrorKind::MalformedRequest, "a request without a host");
    m_route = m_routes->find(*host, request.target);
    if (!m_route || m_route->services.empty()) {
        // The origin knows the route by a configuration that has not come here yet.
        return fail(m_hop ? ErrorKind::NotReady : ErrorKind::UnknownRoute);
    }
    m_facts.work.priority = std::min<std::size_t>(m_route->priority, priorityLevels - 1);
    const auto arrived = m_exchange->arrivedAt();
    if (m_hop) {
        if (!m_route->usesService(m_hop->service) || !m_route->allowsRegion(m_core.settings.region))
            return fail(ErrorKind::NotReady, "the two instances hold different configurations");
        m_service = m_hop->service;
        m_deadline = arrived + m_hop->deadline;
        m_objectiveAt = arrived + m_hop->objective;
        m_facts.resumeAfter = m_hop->resumeAfter;
    } else {
        m_service = m_route->pickService(hash64(m_facts.attemptId));
        const auto patience = std::min(m_facts.deadline.value_or(m_route->timeLimit), m_route->timeLimit);
        m_deadline = arrived + patience;
        m_objectiveAt = arrived + m_route->latencyObjective;
    }
    if (m_core.shutdown && m_core.shutdown->mustRefuse(m_core.clock.now(), m_deadline))
        return fail(ErrorKind::Draining);
    if (crashesServers())
        return fail(ErrorKind::Quarantined);
    return {};
}

void RequestJob::armTimeLimit()
{
    m_timer.expires_at(m_deadline);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self)
            self->onTimeLimit();
    });
}

RequestJob::Plan RequestJob::plan() const
{
    Plan plan;
    const auto prefixHome = m_core.planner.prefixHome(*m_route, m_service, m_facts.work);
    if (m_route->allowsRegion(m_core.settings.region))
        plan.local = m_core.planner.planLocal(m_service, m_facts.work, objectiveLeft(), m_triedServers, prefixHome);
    if (!m_hop)
        plan.remote = m_core.planner.planRemote(*m_route, m_service, m_facts.work, m_triedInstances, prefixHome);
    PlacementInput input;
    if (plan.local.choice.best)
        input.localTimeToFirstByte = plan.local.choice.predicted;
    input.prefixPrefillTime = plan.local.prefixPrefillTime;
    input.remotes = plan.remote.candidates;
    input.idleTimeToFirstByte = predictIdleTimeToFirstByte(m_routes->config().serviceConfig(m_service).engine, m_facts.work);
    input.objective = objectiveLeft();
    input.deadline = timeLeft();
    plan.placement = place(input);
    return plan;
}

void RequestJob::dispatch()
{
    if (m_done)
        return;
    if (timeLeft() < leastUsefulTime)
        return onTimeLimit();
    carryOut(plan());
}

void RequestJob::carryOut(const Plan& plan)
{
    switch (plan.placement.action) {
    case Placement::Action::Local:
        return sendToServer(plan.local);
    case Placement::Action::Remote:
        return sendToInstance(*plan.remote.peers[plan.placement.remoteIndex], plan.placement.predicted);
    case Placement::Action::Refuse:
        break;
    }
    const bool anywhere = plan.local.choice.best || !plan.remote.candidates.empty();
    Error error { anywhere ? ErrorKind::Overloaded : ErrorKind::NoBackend, {}, {}, {} };
    error.runState = m_mayHaveRun ? RunState::OutcomeUnknown : RunState::NotRun;
    logInfo("refused", { { "request", m_facts.attemptId }, { "reason", error.code() }, { "predicted_ms", toMilliseconds(plan.placement.predicted) }, { "objective_ms", toMilliseconds(objectiveLeft()) }, { "left_ms", toMilliseconds(timeLeft()) }, { "servers", plan.local.servers.size() }, { "usable", plan.local.choice.usable }, { "passed_over", plan.local.choice.rejectSummary() }, { "regions", plan.remote.candidates.size() } });
    failWith(error);
}

std::string RequestJob::requestBytes(const std::string& extraHeaders) const
{
    const auto& request = m_exchange->request();
    std::string out;
    out.reserve(512 + extraHeaders.size() + request.body.size());
    out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    const auto connection = findHeader(request.headers, "Connection").value_or("");
    for (const auto& field : request.headers) {
        if (isHopByHop(field.name) || m_core.protocol.isReservedHeader(field.name) || connectionNames(connection, field.name))
            continue;
        out.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    out += extraHeaders;
    const bool bodyExpected = request.method != "GET" && request.method != "HEAD";
    if (bodyExpected || !request.body.empty())
        out.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    out.append("\r\n").append(request.body);
    return out;
}

void RequestJob::sendToServer(const LocalPlan& plan)
{
    const auto& server = *plan.server();
    const auto& candidate = plan.candidates[*plan.choice.best];
    ServerRequestMetadata order;
    order.serverId = server.identity.id;
    order.deadline = std::chrono::duration_cast<milliseconds>(timeLeft());
    if (candidate.engine)
        order.priority = std::min(lastUrgency, urgencyOfRankZero + urgencyPerRank * static_cast<int>(m_route->priority));
    order.resumeAfter = resumeAfter();
    std::string headers;
    m_core.protocol.appendServerMetadata(headers, order);

    OutboundRequest request;
    request.endpoint = server.address;
    request.poolKey = poolKeyOf(server);
    request.bytes = requestBytes(headers);
    request.mostIdle = m_route->retryable() ? mostIdleRepeatable : mostIdleOnce;
    request.connectTimeout = serverConnectTimeout;
    request.belongs = [&protocol = m_core.protocol, id = m_facts.attemptId](const AnswerHead& head) {
        const auto echoed = protocol.decodeAnswer(head).attemptId;
        return !echoed || *echoed == id;
    };
    const auto uncached = m_facts.work.promptTokens - std::min(m_facts.work.promptTokens, candidate.cachedTokens);
    m_ticket = m_core.serverTracker.onSend(server.identityHash, { m_facts.work, uncached, plan.choice.predicted, candidate.slowness, candidate.engine, candidate.memoryTokens });
    if (candidate.cold)
        m_core.serverTracker.recordColdSend(server.identityHash);
    m_triedServers.insert(server.identityHash);
    m_serverId = server.identity.id;
    m_serverPool = request.poolKey;
    m_viaInstance.clear();
    m_sentAt = m_core.clock.now();
    m_predicted = plan.choice.predicted;
    m_intake = Intake::None;
    ++m_attempts;
    m_core.requestRecorder.recordServerSend(m_facts.work.promptTokens, candidate.cachedTokens);
    logInfo("sent to server", { { "request", m_facts.attemptId }, { "server", m_serverId }, { "predicted_ms", toMilliseconds(plan.choice.predicted) }, { "slowness_percent", std::lround(candidate.slowness * 100) }, { "prompt", m_facts.work.promptTokens }, { "prefix", m_facts.work.sharedParts().empty() ? 0 : m_facts.work.sharedParts().back().id }, { "cached_prompt", candidate.cachedTokens }, { "requests", candidate.load.requests }, { "runner_up", plan.choice.runnerUp ? plan.servers[*plan.choice.runnerUp]->identity.id : std::string() }, { "runner_up_ms", toMilliseconds(plan.choice.runnerUpPredicted) } });
    m_outbound = m_core.serverConnections.start(std::move(request), *this);
}

void RequestJob::sendToInstance(const PeerState& member, Duration predicted)
{
    HopMetadata order;
    order.origin = m_core.settings.instance;
    order.configVersion = m_routes->config().version;
    order.service = m_service;
    order.deadline = std::chrono::duration_cast<milliseconds>(std::max(Duration::zero(), timeLeft() - hopReturn));
    order.objective = std::chrono::duration_cast<milliseconds>(std::max(Duration::zero(), objectiveLeft() - hopReturn));
    order.resumeAfter = resumeAfter();
    std::string headers;
    appendHopMetadata(headers, order);
    OutboundRequest request;
    request.endpoint = { member.ip, m_core.settings.peerPort };
    request.poolKey = member.instance + "|" + std::to_string(member.incarnation);
    request.bytes = requestBytes(headers);
    request.mostIdle = m_route->retryable() ? mostIdleRepeatable : mostIdleOnce;
    request.connectTimeout = instanceConnectTimeout;
    m_core.peerTable.onHopStarted(member.instance);
    m_hopInProgress = true;
    m_triedInstances.insert(member.instance);
    m_viaInstance = member.instance;
    m_serverId.clear();
    m_sentAt = m_core.clock.now();
    m_predicted = predicted;
    m_intake = Intake::None;
    ++m_attempts;
    m_core.requestRecorder.recordHopSend(request.bytes.size());
    logInfo("sent to instance", { { "request", m_facts.attemptId }, { "peer", member.instance }, { "region", member.region }, { "predicted_ms", toMilliseconds(predicted) } });
    m_outbound = m_core.peerConnections.start(std::move(request), *this);
}

void RequestJob::onAnswerHead(const AnswerHead& head)
{
    const auto self = shared_from_this();
    if (!m_viaInstance.empty()) {
        m_hopError = decodeHopFailure(head);
        if (m_hopError) {
            m_intake = Intake::HopFailure;
            return;
        }
    }
    const auto facts = m_core.protocol.decodeAnswer(head);
    if (facts.notRun) {
        m_intake = Intake::NotRun;
        if (!m_viaInstance.empty())
            return;
        if (facts.wrongServer) {
            logWarning("another server has the address", { { "request", m_facts.attemptId }, { "server", m_serverId } });
            m_core.serverTracker.markSuspect(m_ticket.server);
        } else {
            m_core.serverTracker.markFull(m_ticket.server, fullPause);
        }
        return;
    }
    m_mayHaveRun = true;
    m_head = head;
    const bool success = head.status < 300;
    m_intake = success && m_route->kind == RouteKind::Streaming ? Intake::Stream : Intake::Whole;
}

void RequestJob::onAnswerBody(std::string_view data)
{
    const auto self = shared_from_this();
    notePart(data.size());
    switch (m_intake) {
    case Intake::Whole:
        m_body.append(data);
        if (m_body.size() > mostWholeBytes)
            failWith({ ErrorKind::AnswerIncomplete, "an answer larger than its bound", RunState::Ran, {} });
        return;
    case Intake::Stream:
        m_core.serverTracker.onFirstByte(m_ticket);
        m_core.serverTracker.onStreamChunk(m_ticket);
        return passOn(data);
    case Intake::None:
    case Intake::NotRun:
    case Intake::HopFailure:
        return;
    }
}

void RequestJob::notePart(std::size_t bytes)
{
    if (!m_viaInstance.empty())
        m_core.requestRecorder.recordHopBytesReceived(bytes);
    if (m_intake != Intake::Stream && m_intake != Intake::Whole)
        return;
    const auto now = m_core.clock.now();
    if (m_firstByteAt == Instant {}) {
        m_firstByteAt = now;
        m_core.requestRecorder.recordPredictionError(m_predicted, now - m_sentAt);
    } else if (m_intake == Intake::Stream) {
        m_core.requestRecorder.recordStreamGap(now - m_lastPartAt);
    }
    m_lastPartAt = now;
}

void RequestJob::sendStreamHead()
{
    if (m_exchange->headSent())
        return;
    m_exchange->sendHead(forwardedHead(m_head));
}

void RequestJob::passOn(std::string_view data)
{
    std::string whole;
    if (m_route->retryable()) {
        m_gate.feed(data, whole);
        data = whole;
    }
    if (data.empty())
        return;
    sendStreamHead();
    m_exchange->sendBody(data);
    if (m_done || m_exchange->unsentBytes() < mostUnsentBytes || !m_outbound)
        return;
    m_outbound->pause();
    m_exchange->onDrained([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_outbound)
            self->m_outbound->resume();
    });
}

void RequestJob::onAnswerEnd()
{
    const auto self = shared_from_this();
    switch (m_intake) {
    case Intake::Whole:
        return onWholeAnswer();
    case Intake::Stream:
        return onStreamEnd();
    case Intake::NotRun:
        return onNotRun();
    case Intake::HopFailure:
        return onHopFailure();
    case Intake::None:
        return;
    }
}

void RequestJob::onWholeAnswer()
{
    m_core.serverTracker.onFirstByte(m_ticket);
    const bool failed = m_head.status >= firstServerFailure;
    endSend(failed ? ServerOutcome::Failed : ServerOutcome::Succeeded);
    if (failed && m_route->retryable() && repeat("the server answered with a failure"))
        return;
    if (m_exchange->headSent()) {
        m_exchange->abort();
        return finish("broken_off");
    }
    // A promise that nothing ran is only passed on where the server makes it in the form that says so.
    const auto status = m_head.status;
    if (!m_route->retryable() && (status == 503 || status == 429 || status == 408 || status == 421))
        return failWith({ ErrorKind::BackendLost, "the server's refusal does not say whether it ran", RunState::OutcomeUnknown, {} });
    m_exchange->sendWhole(forwardedHead(m_head), m_body);
    if (failed)
        return finish("server_failure", "the server answered with status " + std::to_string(status));
    finish("ok");
}

void RequestJob::onStreamEnd()
{
    endSend(ServerOutcome::Succeeded);
    sendStreamHead();
    if (m_route->retryable())
        m_exchange->sendBody(std::string(m_gate.rest()));
    m_exchange->finish();
    finish("ok");
}

void RequestJob::onNotRun()
{
    endSend(ServerOutcome::Rejected);
    if (repeat("the server refused"))
        return;
    const bool began = m_mayHaveRun;
    const Error error { ErrorKind::Overloaded, {}, began ? RunState::OutcomeUnknown : RunState::NotRun, {} };
    failWith(error);
}

void RequestJob::onHopFailure()
{
    endSend(ServerOutcome::Abandoned);
    auto error = *m_hopError;
    m_hopError.reset();
    if (error.effectiveRunState() != RunState::NotRun)
        m_mayHaveRun = true;
    logInfo("instance gave up", { { "request", m_facts.attemptId }, { "peer", m_viaInstance }, { "reason", error.code() }, { "run_state", toString(error.effectiveRunState()) } });
    // The other region did not send it to a server, so that this costs nobody a repeat.
    if (error.effectiveRunState() == RunState::NotRun && m_triedInstances.size() < 2) {
        --m_attempts;
        return dispatch();
    }
    failWith(error);
}

void RequestJob::onAnswerFailure(OutboundFailure failure, std::string_view reason)
{
    const auto self = shared_from_this();
    const bool viaInstance = !m_viaInstance.empty();
    logInfo("send failed", { { "request", m_facts.attemptId }, { "server", m_serverId }, { "peer", m_viaInstance }, { "how", toString(failure) }, { "reason", reason }, { "after_ms", toMilliseconds(m_core.clock.now() - m_sentAt) } });
    if (m_intake == Intake::NotRun)
        return onNotRun();
    if (m_intake == Intake::HopFailure)
        return onHopFailure();
    if (failure == OutboundFailure::NotSent) {
        --m_attempts;
        if (viaInstance) {
            m_core.peerTable.backOff(m_viaInstance, instancePause);
        } else {
            m_core.serverTracker.markSuspect(m_ticket.server);
            m_core.serverConnections.closeIdle(m_serverPool);
        }
        endSend(ServerOutcome::Lost);
        return dispatch();
    }
    onSendLost(failure, reason);
}

void RequestJob::onSendLost(OutboundFailure failure, std::string_view reason)
{
    m_mayHaveRun = true;
    if (m_viaInstance.empty()) {
        const auto server = m_ticket.server;
        m_core.crashTracker.onServerCrash(fingerprint(), server);
        endSend(ServerOutcome::Lost);
        m_core.requestProbe(server);
    } else {
        endSend(ServerOutcome::Lost);
        m_core.peerTable.backOff(m_viaInstance, instancePause);
    }
    if (m_route->retryable() && repeat(reason))
        return;
    const auto kind = failure == OutboundFailure::Truncated ? ErrorKind::AnswerIncomplete : m_viaInstance.empty() ? ErrorKind::BackendLost
                                                                                                                  : ErrorKind::PeerLost;
    failWith({ kind, {}, RunState::OutcomeUnknown, {} });
}

bool RequestJob::repeat(std::string_view why)
{
    // The instance that holds the caller repeats; it knows all attempts.
    const bool allowed = !m_hop && m_attempts < m_route->maxAttempts && timeLeft() > leastUsefulTime;
    if (!allowed || crashesServers())
        return false;
    const auto next = plan();
    // Where nobody can take it, the answer at hand is better than none.
    if (next.placement.action == Placement::Action::Refuse || !m_core.retryBudget.tryRetry(m_service))
        return false;
    m_core.requestRecorder.recordRetry();
    logInfo("sent again", { { "request", m_facts.attemptId }, { "why", why }, { "attempt", m_attempts + 1 }, { "after_event", m_gate.lastId().value_or("") } });
    m_gate.restart();
    m_body.clear();
    m_outbound.reset();
    carryOut(next);
    return true;
}

void RequestJob::endSend(ServerOutcome outcome)
{
    if (std::exchange(m_hopInProgress, false))
        m_core.peerTable.onHopEnded(m_viaInstance);
    m_core.serverTracker.onComplete(m_ticket, outcome);
}

void RequestJob::onTimeLimit()
{
    if (m_done)
        return;
    const bool sent = m_outbound && m_outbound->sent();
    const Error error { ErrorKind::DeadlineExceeded, {}, sent || m_mayHaveRun ? RunState::OutcomeUnknown : RunState::NotRun, {} };
    logInfo("time is up", { { "request", m_facts.attemptId }, { "server", m_serverId }, { "peer", m_viaInstance }, { "events", m_gate.events() }, { "head_seen", m_intake != Intake::None ? 1 : 0 } });
    failWith(error);
}

void RequestJob::onCallerGone()
{
    const auto self = shared_from_this();
    if (m_done)
        return;
    m_outbound.reset();
    endSend(ServerOutcome::Abandoned);
    finish("caller_gone");
}

void RequestJob::failWith(const Error& error)
{
    const auto self = shared_from_this();
    if (m_done)
        return;
    m_outbound.reset();
    endSend(ServerOutcome::Abandoned);
    if (m_exchange->headSent()) {
        m_exchange->abort();
        return finish("broken_off", reasonOf(error));
    }
    auto answer = failureAnswer(error, timeLeft(), *m_core.random);
    if (m_hop)
        answer.head.headers.push_back(encodeHopFailure(error));
    m_exchange->sendWhole(std::move(answer.head), answer.body);
    finish(error.code(), reasonOf(error));
}

void RequestJob::finish(std::string_view outcome, std::string_view reason)
{
    m_done = true;
    m_timer.cancel();
    const auto arrived = m_exchange->arrivedAt();
    RequestSummary end;
    end.requestId = m_facts.attemptId;
    end.route = m_route ? std::string_view(m_route->name) : std::string_view();
    end.outcome = outcome;
    end.reason = reason;
    end.duration = m_core.clock.now() - arrived;
    if (m_firstByteAt != Instant {})
        end.timeToFirstByte = m_firstByteAt - arrived;
    end.server = m_serverId;
    end.peer = m_viaInstance;
    end.attempts = m_attempts;
    end.configVersion = m_routes ? m_routes->config().version : 0;
    m_core.requestRecorder.recordEnd(end);
    // The exchange may be on the stack of a callback that still uses this job.
    boost::asio::post(m_core.io, [&core = m_core, self = shared_from_this()] {
        self->m_outbound.reset();
        core.activeRequests.erase(self);
    });
}

} // namespace yuccashift
