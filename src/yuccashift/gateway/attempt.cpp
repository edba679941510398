#include "yuccashift/gateway/attempt.hpp"

#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/kernel/cancellation.hpp"
#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/log.hpp"

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr int httpServiceUnavailable = 503;
    /** Time within which a backend server must accept a connection to count as running after a connection to it was lost. */
    constexpr milliseconds probeTimeout { 500 };
    /** The head of an answer on a pooled connection must arrive within the remaining time divided by this. */
    constexpr int pooledHeadTimeoutDivisor = 3;

    bool refusedBeforeExecution(const AnswerHead& head)
    {
        return head.status == httpServiceUnavailable && findHeader(head.headers, "X-Not-Run").has_value();
    }

    RequestOutcome outcomeOf(const Result<void>& result)
    {
        if (result)
            return RequestOutcome::Answered;
        switch (result.error().kind) {
        case ErrorKind::BackendRefused:
            return RequestOutcome::Refused;
        case ErrorKind::Cancelled:
            return RequestOutcome::Cancelled;
        default:
            return RequestOutcome::Failed;
        }
    }

    bool isServerFailure(const Error& error)
    {
        return error.kind == ErrorKind::BackendLost || error.kind == ErrorKind::AnswerIncomplete || error.kind == ErrorKind::BackendRefused;
    }

} // namespace

Attempt::Attempt(GatewayComponents& components, const RequestContext& context, const BackendSpec& backend, AnswerRelay& relay, bool newConnection)
    : m_components(components)
    , m_context(context)
    , m_backend(backend)
    , m_relay(relay)
    , m_newConnection(newConnection)
{
}

bool mayReuseConnection(const RequestContext& context)
{
    return context.traits.idempotent && context.resolved.model == nullptr;
}

std::uint64_t Attempt::expectedTokens() const
{
    return m_context.traits.promptTokens + m_context.traits.expectedOutputTokens;
}

asio::awaitable<Result<void>> Attempt::run()
{
    const BackendKey key { m_context.traits.service, m_backend.name };
    auto span = m_components.startSpan(m_context.trace, "attempt");
    span.attributes = { { "backend", m_backend.name }, { "region", m_backend.region } };
    m_sentAt = m_components.clock.now();
    const auto trackedRequest = m_components.loadTracker.onStart(key, expectedTokens(), m_components.clock.now());
    m_components.prefixCacheTracker.onSent(key, m_context.traits.prefixBlocks);
    Result<void> result;
    {
        const InFlightRequestTracker::Entry entry(m_components.inFlightRequests, key, m_context.fingerprint);
        result = co_await exchange(span.context);
        const bool cancelled = co_await isCancelled();
        if (cancelled)
            result = fail(ErrorKind::Cancelled, "the answer is not needed any more");
        // The request is still tracked as in flight here, so that a crash of its server counts for it.
        if (!result)
            co_await handleConnectionLoss(result.error());
    }
    m_components.loadTracker.onFinish(trackedRequest, outcomeOf(result), m_components.clock.now());
    recordOutcome(result);
    if (!result)
        span.attributes.emplace_back("error", std::string(result.error().code()));
    m_components.endSpan(std::move(span), !result);
    co_return result;
}

asio::awaitable<Result<void>> Attempt::exchange(const TraceContext& trace)
{
    const bool cancelled = co_await isCancelled();
    if (cancelled)
        co_return fail(ErrorKind::Cancelled);
    auto call = makeCall(trace);
    auto answer = co_await m_components.backends->send(std::move(call));
    if (!answer)
        co_return tl::unexpected(std::move(answer.error()));
    if (refusedBeforeExecution((*answer)->head())) {
        // A server that shuts down refuses requests. Later load reports and the instance list say whether it is still leaving.
        if (findHeader((*answer)->head().headers, "X-Leaving"))
            m_components.loadTracker.onLeaving({ m_context.traits.service, m_backend.name }, true);
        // A refusal because of load does not count as a failure of the server.
        co_return fail(ErrorKind::Overloaded, "backend server " + m_backend.name + " refused the request");
    }
    const auto inForce = m_components.documents.find(m_context.traits.service);
    co_return co_await m_relay.run(**answer, softwareOfBackend(m_context.document(), inForce.get(), m_backend.name));
}

BackendCall Attempt::makeCall(const TraceContext& trace) const
{
    BackendCall call;
    call.endpoint = m_backend.address;
    call.request = makeBackendRequest(m_context, trace, m_relay.deliveredTokens());
    call.deadline = m_context.traits.deadline;
    call.progressTimeout = m_components.settings.bounds.progressTimeout;
    call.freshConnection = m_newConnection || !mayReuseConnection(m_context);
    const auto remaining = call.deadline - m_components.clock.now();
    // On a new connection the request may wait in a queue or for the whole
    // generation before the first byte. On a pooled connection an early timeout
    // leaves time for a retry.
    call.headTimeout = call.freshConnection ? remaining : std::min<Duration>(call.progressTimeout, remaining / pooledHeadTimeoutDivisor);
    return call;
}

asio::awaitable<void> Attempt::handleConnectionLoss(const Error& error)
{
    if (error.kind != ErrorKind::BackendLost && error.kind != ErrorKind::AnswerIncomplete)
        co_return;
    // A lost connection alone does not prove a crash; a server that accepts no new connection has crashed.
    BackendCall probe;
    probe.endpoint = m_backend.address;
    probe.request = { "GET", "/v1/load", {}, {} };
    probe.deadline = m_components.clock.now() + probeTimeout;
    probe.progressTimeout = probeTimeout;
    probe.freshConnection = true;
    const auto alive = co_await m_components.backends->send(std::move(probe));
    if (alive || alive.error().kind != ErrorKind::BackendRefused)
        co_return;
    const BackendKey key { m_context.traits.service, m_backend.name };
    const std::array<std::string_view, 2> names { key.service, key.backend };
    const auto now = m_components.clock.now();
    m_components.quarantine.onBackendCrash(hash64(names), m_components.inFlightRequests.takeForCrash(key), now);
    m_components.promptQuarantine.onServerLost(static_cast<std::uint32_t>(hash64(names)), partsOfBlocks(m_context.traits.prefixBlocks), m_sentAt, now);
    m_components.loadTracker.onLost(key, now);
    m_components.prefixCacheTracker.onLost(key);
    logWarning("backend server crashed with requests in flight", { { "service", key.service }, { "backend", key.backend } });
}

void Attempt::recordOutcome(const Result<void>& result)
{
    const auto now = m_components.clock.now();
    if (result) {
        m_components.ejection.onSuccess(m_context.traits.service, m_backend.name, now);
        m_components.quarantine.onSuccess(m_context.fingerprint, now);
        m_components.promptQuarantine.onSuccess(partsOfBlocks(m_context.traits.prefixBlocks), now);
    } else if (isServerFailure(result.error())) {
        m_components.ejection.onFailure(m_context.traits.service, m_backend.name, now);
    }
}

} // namespace yuccashift
