#include "yuccashift/gateway/attempt.hpp"

#include "yuccashift/gateway/parts.hpp"
#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/log.hpp"

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr int httpServiceUnavailable = 503;
    /** Time in which a backend server that was lost must accept a connection to count as running. */
    constexpr milliseconds probeTimeout { 500 };
    /** A pooled connection may stay silent for this part of the remaining time. */
    constexpr int reuseShare = 3;

    bool refusedBeforeRun(const AnswerHead& head)
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

Attempt::Attempt(Parts& parts, const RequestContext& context, const BackendSpec& backend, AnswerRelay& relay, bool fresh)
    : m_parts(parts)
    , m_context(context)
    , m_backend(backend)
    , m_relay(relay)
    , m_fresh(fresh)
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
    auto span = m_parts.startSpan(m_context.trace, "attempt");
    span.attributes = { { "backend", m_backend.name }, { "region", m_backend.region } };
    const auto own = m_parts.loads.onStart(key, expectedTokens(), m_parts.clock.now());
    m_parts.caches.onSent(key, m_context.traits.prefixBlocks);
    Result<void> result;
    {
        const InProgressBook::Entry entry(m_parts.inProgress, key, m_context.fingerprint);
        result = co_await exchange(span.context);
        const auto cancellation = co_await asio::this_coro::cancellation_state;
        if (cancellation.cancelled() != asio::cancellation_type::none)
            result = fail(ErrorKind::Cancelled, "another sending was quicker");
        // The book still names this request while its server's death is noted.
        if (!result)
            co_await noteLoss(result.error());
    }
    m_parts.loads.onFinish(own, outcomeOf(result), m_parts.clock.now());
    noteOutcome(result);
    if (!result)
        span.attributes.emplace_back("error", std::string(result.error().code()));
    m_parts.endSpan(std::move(span), !result);
    co_return result;
}

asio::awaitable<Result<void>> Attempt::exchange(const TraceContext& trace)
{
    auto call = makeCall(trace);
    auto answer = co_await m_parts.backends->send(std::move(call));
    if (!answer)
        co_return tl::unexpected(std::move(answer.error()));
    if (refusedBeforeRun((*answer)->head())) {
        // Leaving servers refuse; reports and the list say later whether it is leaving.
        if (findHeader((*answer)->head().headers, "X-Leaving"))
            m_parts.loads.onLeaving({ m_context.traits.service, m_backend.name }, true);
        // A refusal for load is no failure of the server.
        co_return fail(ErrorKind::Overloaded, "backend server " + m_backend.name + " refused the request");
    }
    co_return co_await m_relay.run(**answer);
}

BackendCall Attempt::makeCall(const TraceContext& trace) const
{
    BackendCall call;
    call.endpoint = m_backend.address;
    call.request = makeBackendRequest(m_context, trace, m_relay.tokens());
    call.deadline = m_context.traits.deadline;
    call.progressTimeout = m_parts.settings.bounds.progressTimeout;
    call.freshConnection = m_fresh || !mayReuseConnection(m_context);
    const auto remaining = call.deadline - m_parts.clock.now();
    // A queue or a whole generation may lie before the first byte on a new
    // connection; on a pooled one early silence leaves time for another try.
    call.headTimeout = call.freshConnection ? remaining : std::min<Duration>(call.progressTimeout, remaining / reuseShare);
    return call;
}

asio::awaitable<void> Attempt::noteLoss(const Error& error)
{
    if (error.kind != ErrorKind::BackendLost && error.kind != ErrorKind::AnswerIncomplete)
        co_return;
    // A lost connection alone says little; a server that takes no new one has died.
    BackendCall probe;
    probe.endpoint = m_backend.address;
    probe.request = { "GET", "/v1/load", {}, {} };
    probe.deadline = m_parts.clock.now() + probeTimeout;
    probe.progressTimeout = probeTimeout;
    probe.freshConnection = true;
    const auto alive = co_await m_parts.backends->send(std::move(probe));
    if (alive || alive.error().kind != ErrorKind::BackendRefused)
        co_return;
    const BackendKey key { m_context.traits.service, m_backend.name };
    const std::array<std::string_view, 2> names { key.service, key.backend };
    const auto now = m_parts.clock.now();
    m_parts.quarantine.onBackendCrash(hash64(names), m_parts.inProgress.takeForDeath(key), now);
    m_parts.loads.onLost(key, now);
    m_parts.caches.onLost(key);
    logWarning("backend server died with requests in progress", { { "service", key.service }, { "backend", key.backend } });
}

void Attempt::noteOutcome(const Result<void>& result)
{
    const auto now = m_parts.clock.now();
    if (result) {
        m_parts.ejection.onSuccess(m_context.traits.service, m_backend.name, now);
        m_parts.quarantine.onSuccess(m_context.fingerprint, now);
    } else if (isServerFailure(result.error())) {
        m_parts.ejection.onFailure(m_context.traits.service, m_backend.name, now);
    }
}

} // namespace yuccashift
