#include "yuccashift/gateway/gateway.hpp"

#include "peer_types.h"
#include "yuccashift/gateway/answer_recorder.hpp"
#include "yuccashift/gateway/entry_answer.hpp"
#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/membership/coordinator.hpp"
#include "yuccashift/peer/peer_hub.hpp"
#include "yuccashift/resilience/backoff.hpp"

#include <algorithm>

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t maxStoredAnswerBytes = 256 * 1024;

    /** Adds the traceparent header to the answer. */
    class TracedSink final : public AnswerSink {
    public:
        TracedSink(AnswerSink& sink, std::string traceparent)
            : m_sink(sink)
            , m_traceparent(std::move(traceparent))
        {
        }

        asio::awaitable<bool> head(AnswerHead head) override
        {
            setHeader(head.headers, "traceparent", m_traceparent);
            return m_sink.head(std::move(head));
        }

        asio::awaitable<bool> chunk(std::string_view data) override { return m_sink.chunk(data); }
        asio::awaitable<bool> end() override { return m_sink.end(); }
        asio::awaitable<void> fail(const Error& error, const HeaderFields& extra) override { return m_sink.fail(error, extra); }
        void setDeadline(Instant deadline) override { m_sink.setDeadline(deadline); }
        bool headSent() const override { return m_sink.headSent(); }

    private:
        AnswerSink& m_sink;
        std::string m_traceparent;
    };

    /** Finishes the run of an idempotency key; as unknown if it is destroyed before finish() or close(). */
    class KeyedRunGuard {
    public:
        KeyedRunGuard(KeyTable& keys, const KeyTicket& ticket)
            : m_keys(keys)
            , m_ticket(ticket)
        {
        }

        ~KeyedRunGuard()
        {
            if (m_open)
                m_keys.finishUnknown(m_ticket, ErrorKind::Internal);
        }

        KeyedRunGuard(const KeyedRunGuard&) = delete;
        KeyedRunGuard& operator=(const KeyedRunGuard&) = delete;

        void finish(StoredAnswer answer)
        {
            m_open = false;
            m_keys.finish(m_ticket, std::move(answer));
        }

        /** Finishes the run with the result of the request, unless finish() has stored the answer. */
        void close(const Result<void>& result)
        {
            if (!m_open)
                return;
            m_open = false;
            if (result)
                m_keys.finishWithoutAnswer(m_ticket);
            else
                closeFailed(result.error());
        }

    private:
        void closeFailed(const Error& error)
        {
            switch (error.effectiveRunState()) {
            case RunState::NotRun:
                m_keys.releaseNotRun(m_ticket);
                break;
            case RunState::Ran:
                m_keys.finishWithoutAnswer(m_ticket);
                break;
            case RunState::OutcomeUnknown:
                m_keys.finishUnknown(m_ticket, error.kind);
                break;
            }
        }

        KeyTable& m_keys;
        KeyTicket m_ticket;
        bool m_open = true;
    };

    asio::awaitable<Result<void>> replay(const StoredAnswer& answer, AnswerSink& sink)
    {
        AnswerHead head;
        head.status = answer.status;
        for (const auto& [name, value] : answer.headers)
            head.headers.push_back({ name, value });
        setHeader(head.headers, "Idempotent-Replay", "true");
        const bool delivered = co_await sendComplete(sink, std::move(head), answer.body);
        if (!delivered)
            co_return fail(ErrorKind::Cancelled);
        co_return Result<void> {};
    }

    // These errors mean that this region lacks capacity; another region may have some.
    bool isCapacityError(const Error& error)
    {
        return error.kind == ErrorKind::NoBackend || error.kind == ErrorKind::QueueFull || error.kind == ErrorKind::Overloaded;
    }

    /** Error for a request that no region can take. An unreachable allowed region may become reachable again, so it is no violation of residency. */
    Error noRegionError(const Decision& decision, bool allowedHere)
    {
        if (allowedHere)
            return { ErrorKind::Overloaded, {}, {}, {} };
        const bool unreachable = std::ranges::any_of(decision.candidates, [](const auto& it) { return it.reason == RejectReason::Unreachable; });
        if (unreachable)
            return { ErrorKind::NoBackend, "the allowed regions cannot be reached from here", {}, {} };
        return { ErrorKind::ResidencyViolation, {}, {}, {} };
    }

    // Until its idempotency key is looked up, the request may be a retry of one that has run.
    Error unknownOutcomeIfKeyed(Error error, bool keyed)
    {
        if (keyed && error.effectiveRunState() == RunState::NotRun)
            error.runState = RunState::OutcomeUnknown;
        return error;
    }

    // Jitter keeps callers that were refused at the same time from retrying at the same time.
    void jitterRetryAfter(Error& error)
    {
        const auto wait = seconds(traits(error.kind).retryAfterSeconds);
        if (wait > seconds(0) || error.retryAfter)
            error.retryAfter = jitteredRetryAfter(error.retryAfter.value_or(wait), threadRandom());
    }

    bool contains(std::span<const RegionName> regions, const RegionName& region)
    {
        return std::ranges::find(regions, region) != regions.end();
    }

} // namespace

Gateway::Gateway(GatewayComponents& components, Coordinator& coordinator, PeerHub& hub)
    : m_components(components)
    , m_coordinator(coordinator)
    , m_hub(hub)
    , m_executor(components)
    , m_forwarder(components, coordinator, hub)
{
}

Gateway::~Gateway() = default;

asio::awaitable<void> Gateway::handle(RequestMessage message, AnswerSink& sink)
{
    const Lifecycle::Guard guard(m_components.lifecycle);
    const auto parent = parseTraceparent(findHeader(message.headers, "traceparent").value_or(""));
    auto span = parent ? m_components.startSpan(*parent, "entry") : m_components.startSpan(startTrace(threadRandom()), "entry");
    if (!parent)
        span.parentId = {};
    span.attributes = { { "method", message.method }, { "target", message.target }, { "region", m_components.settings.region } };
    HeaderFields extra { { "traceparent", formatTraceparent(span.context) } };
    TracedSink traced(sink, extra.front().value);
    const auto startedAt = m_components.clock.now();
    auto result = co_await handleCaller(std::move(message), traced, span.context, extra);
    if (!result) {
        jitterRetryAfter(result.error());
        span.attributes.emplace_back("error", std::string(result.error().code()));
        co_await sink.fail(result.error(), extra);
    }
    const auto outcome = result ? std::string_view("ok") : result.error().code();
    m_components.metrics.counter("yuccashift_requests_total", { { "outcome", outcome } }).add();
    m_components.metrics.latency("yuccashift_request_seconds").record(m_components.clock.now() - startedAt);
    m_components.endSpan(std::move(span), !result);
}

asio::awaitable<Result<void>> Gateway::handleCaller(RequestMessage message, AnswerSink& sink, const TraceContext& trace, HeaderFields& extra)
{
    if (message.target == entriesPath)
        co_return co_await answerEntries(message, sink);
    const bool keyed = findHeader(message.headers, "Idempotency-Key").has_value();
    const auto context = admitLocal(std::move(message), trace);
    if (!context)
        co_return tl::unexpected(unknownOutcomeIfKeyed(context.error(), keyed));
    const auto now = m_components.clock.now();
    const auto& traits = context->traits;
    sink.setDeadline(traits.deadline);
    // A draining instance still answers keyed requests, since it may have run them.
    const bool answersKeys = keyed && !traits.idempotent && m_components.lifecycle.draining();
    if (const auto ready = checkReady(); !ready && !answersKeys)
        co_return tl::unexpected(unknownOutcomeIfKeyed(ready.error(), keyed));
    if (const auto admitted = m_components.limits.admit(traits.service, *context->organisation, now); !admitted)
        co_return tl::unexpected(unknownOutcomeIfKeyed(admitted.error(), keyed));
    auto result = co_await serve(*context, sink, false);
    m_components.limits.onFinish(traits.service, *context->organisation);
    m_components.metrics.latency("yuccashift_service_seconds", { { "service", traits.service }, { "priority", toString(traits.priority) } }).record(m_components.clock.now() - now);
    if (!result && result.error().kind == ErrorKind::KeyRequired)
        offerKey(*context, extra);
    co_return result;
}

Result<void> Gateway::checkReady() const
{
    if (m_components.lifecycle.draining() || m_coordinator.superseded())
        return fail(ErrorKind::Draining);
    if (!m_coordinator.ready())
        return fail(ErrorKind::NotReady);
    return {};
}

Result<RequestContext> Gateway::admitLocal(RequestMessage message, const TraceContext& trace)
{
    constexpr std::size_t requestIdLength = 32;
    Arrival arrival { m_components.self.instance, m_components.settings.region, m_components.clock.now(), trace, {} };
    arrival.requestId = toHex(startTrace(threadRandom()).traceId).substr(0, requestIdLength);
    return admitRequest(*m_components.routes(), std::move(message), arrival);
}

void Gateway::offerKey(const RequestContext& context, HeaderFields& extra)
{
    if (!contains(context.traits.allowedRegions, m_components.settings.region))
        return;
    const auto key = m_components.minter.mint(context.organisation->name, m_components.clock.now(), threadRandom());
    extra.push_back({ "Idempotency-Key", toString(key) });
}

asio::awaitable<Result<void>> Gateway::serve(const RequestContext& context, AnswerSink& sink, bool forwarded)
{
    if (!context.traits.idempotent && (!forwarded || !context.key.empty()))
        co_return co_await serveKeyed(context, sink, forwarded);
    if (forwarded)
        co_return co_await m_executor.run(context, sink);
    co_return co_await placeRequest(context, sink);
}

asio::awaitable<Result<void>> Gateway::serveKeyed(const RequestContext& context, AnswerSink& sink, bool forwarded)
{
    const auto key = parseMintedKey(context.key, context.organisation->name, m_components.settings.peerKey);
    if (!key)
        co_return tl::unexpected(key.error());
    const auto minter = minterState(key->instance, context);
    const KeyOwner owner { m_components.self.instance, m_components.self.incarnation, m_components.startedAt, m_components.settings.bounds.keyLifetime };
    const auto route = routeKey(*key, owner, minter, forwarded, m_components.clock.now());
    switch (route.action) {
    case KeyAction::RunHere:
        co_return co_await runKeyed(context, *key, sink);
    case KeyAction::Forward:
        co_return co_await m_forwarder.forwardToMinter(context, route.instance, sink);
    case KeyAction::Refuse:
        break;
    }
    co_return tl::unexpected(route.error.value_or(Error { ErrorKind::Internal, {}, {}, {} }));
}

MinterState Gateway::minterState(const InstanceId& instance, const RequestContext& context) const
{
    auto minter = m_coordinator.minterState(instance);
    minter.reachable = m_hub.reachable(instance);
    const auto view = m_coordinator.view();
    const auto it = view->members.find(instance);
    minter.regionAllowed = it == view->members.end() || contains(context.traits.allowedRegions, it->second.info.region);
    return minter;
}

asio::awaitable<Result<void>> Gateway::runKeyed(const RequestContext& context, const MintedKey& key, AnswerSink& sink)
{
    const auto decision = m_components.keys.begin(key, context.fingerprint, m_components.clock.now());
    if (decision.verdict == KeyVerdict::Replay)
        co_return co_await replay(*decision.answer, sink);
    if (decision.verdict == KeyVerdict::Refuse)
        co_return tl::unexpected(decision.error.value_or(Error { ErrorKind::Internal, {}, {}, {} }));
    // The answer is recorded for later requests with the key, also when nobody waits for it any more.
    co_await asio::this_coro::reset_cancellation_state(asio::disable_cancellation());
    KeyedRunGuard run(m_components.keys, decision.ticket);
    AnswerRecorder recorder(sink, maxStoredAnswerBytes, [&run](StoredAnswer answer) { run.finish(std::move(answer)); });
    Result<void> result;
    if (m_components.lifecycle.draining())
        result = fail(ErrorKind::Draining);
    else
        result = co_await placeRequest(context, recorder);
    run.close(result);
    co_return result;
}

Decision Gateway::chooseRegion(const RequestContext& context, std::vector<RegionState>& states)
{
    const auto now = m_components.clock.now();
    auto localLoad = aggregateLoad(m_components.backendStates(context.document(), context.traits), now);
    localLoad.queueWait = std::max(localLoad.queueWait, m_components.gate(context.traits.service).expectedWait(context.traits));
    states = m_components.regionLoadTracker.states(context.document(), context.traits, localLoad, now);
    return m_components.policies.region->choose(context.traits, context.document().spill, m_components.settings.region, states, now, threadRandom());
}

asio::awaitable<Result<void>> Gateway::placeRequest(const RequestContext& context, AnswerSink& sink)
{
    const auto& localRegion = m_components.settings.region;
    const bool allowedHere = contains(context.traits.allowedRegions, localRegion);
    if (context.origin.regionHops > 0) {
        if (!allowedHere)
            co_return fail(ErrorKind::HopLimit, "the request would have to cross regions twice");
        co_return co_await m_executor.run(context, sink);
    }
    std::vector<RegionState> states;
    const auto decision = chooseRegion(context, states);
    if (!decision.chosen)
        co_return tl::unexpected(noRegionError(decision, allowedHere));
    const auto& chosen = states[*decision.chosen].name;
    if (chosen != localRegion) {
        m_components.metrics.counter("yuccashift_sent_away_total", { { "region", chosen } }).add();
        auto result = co_await m_forwarder.forwardToRegion(context, chosen, sink);
        const bool mayRunLocally = !result && allowedHere && !sink.headSent() && result.error().effectiveRunState() == RunState::NotRun;
        if (!mayRunLocally)
            co_return result;
    }
    auto result = co_await m_executor.run(context, sink);
    if (result || sink.headSent() || result.error().effectiveRunState() != RunState::NotRun || !isCapacityError(result.error()))
        co_return result;
    for (const auto& state : states) {
        const bool usable = state.name != localRegion && state.reachable && contains(context.traits.allowedRegions, state.name);
        if (usable && state.name != chosen && context.document().spill.mode == SpillMode::WhenLoaded)
            co_return co_await m_forwarder.forwardToRegion(context, state.name, sink);
    }
    co_return result;
}

asio::awaitable<Result<void>> Gateway::answerEntries(const RequestMessage& message, AnswerSink& sink)
{
    const auto body = entryAnswer(m_components, m_coordinator, message);
    if (!body)
        co_return tl::unexpected(body.error());
    AnswerHead head { 200, { { "Content-Type", "application/json" }, { "Cache-Control", "no-store" } }, {} };
    co_await sendComplete(sink, std::move(head), *body);
    co_return Result<void> {};
}

void Gateway::onControl(const PeerIdentity& from, const wire::Frame& frame)
{
    const auto frames = m_coordinator.receive(from.instance, frame, m_components.clock.now());
    for (const auto& outgoing : frames)
        m_hub.send(outgoing.to, outgoing.frame);
}

asio::awaitable<void> Gateway::onForward(PeerIdentity from, wire::Forward forward, AnswerSink& sink)
{
    const Lifecycle::Guard guard(m_components.lifecycle);
    const auto parent = parseTraceparent(forward.traceparent);
    auto span = m_components.startSpan(parent ? *parent : startTrace(threadRandom()), "receive");
    span.attributes = { { "from", from.instance }, { "region", m_components.settings.region } };
    Arrival arrival { m_components.self.instance, m_components.settings.region, m_components.clock.now(), span.context, {} };
    Result<void> result;
    const auto context = admitForward(*m_components.routes(), forward, arrival);
    if (!context)
        result = tl::unexpected(context.error());
    // Keyed requests are still answered while draining: only this incarnation knows their outcome.
    else if (const auto ready = checkReady(); !ready && context->key.empty())
        result = ready;
    else
        result = co_await serve(*context, sink, true);
    if (!result) {
        span.attributes.emplace_back("error", std::string(result.error().code()));
        co_await sink.fail(result.error(), HeaderFields());
    }
    m_components.metrics.counter("yuccashift_forwards_total", { { "outcome", result ? std::string_view("ok") : result.error().code() } }).add();
    m_components.endSpan(std::move(span), !result);
}

} // namespace yuccashift
