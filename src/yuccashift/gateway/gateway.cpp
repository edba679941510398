#include "yuccashift/gateway/gateway.hpp"

#include "peer_types.h"
#include "yuccashift/gateway/answer_recorder.hpp"
#include "yuccashift/gateway/entry_answer.hpp"
#include "yuccashift/gateway/parts.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/membership/coordinator.hpp"
#include "yuccashift/peer/peer_hub.hpp"
#include "yuccashift/resilience/backoff.hpp"

#include <algorithm>

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t mostStoredAnswerBytes = 256 * 1024;

    /** Adds the trace to whatever answer goes out. */
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
        bool started() const override { return m_sink.started(); }

    private:
        AnswerSink& m_sink;
        std::string m_traceparent;
    };

    /** Closes a key's run as unknown unless it was closed otherwise. */
    class OpenRun {
    public:
        OpenRun(KeyTable& keys, const KeyTicket& ticket)
            : m_keys(keys)
            , m_ticket(ticket)
        {
        }

        ~OpenRun()
        {
            if (m_open)
                m_keys.finishUnknown(m_ticket, ErrorKind::Internal);
        }

        OpenRun(const OpenRun&) = delete;
        OpenRun& operator=(const OpenRun&) = delete;

        void finish(StoredAnswer answer)
        {
            m_open = false;
            m_keys.finish(m_ticket, std::move(answer));
        }

        /** To be called at the end where the answer was not whole before. */
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
        const bool taken = co_await sendWhole(sink, std::move(head), answer.body);
        if (!taken)
            co_return fail(ErrorKind::Cancelled);
        co_return Result<void> {};
    }

    // Another region may have room where this one has not.
    bool isLocalShortage(const Error& error)
    {
        return error.kind == ErrorKind::NoBackend || error.kind == ErrorKind::QueueFull || error.kind == ErrorKind::Overloaded;
    }

    /** Why no region can take the request; an allowed region that is out of reach may come back. */
    Error noRegionError(const Decision& decision, bool allowedHere)
    {
        if (allowedHere)
            return { ErrorKind::Overloaded, {}, {}, {} };
        const bool outOfReach = std::ranges::any_of(decision.candidates, [](const auto& it) { return it.reason == RejectReason::Unreachable; });
        if (outOfReach)
            return { ErrorKind::NoBackend, "the allowed regions cannot be reached from here", {}, {} };
        return { ErrorKind::ResidencyViolation, {}, {}, {} };
    }

    // Before its key is looked up, a request may be one that has run already.
    Error unlessRunBefore(Error error, bool keyed)
    {
        if (keyed && error.effectiveRunState() == RunState::NotRun)
            error.runState = RunState::OutcomeUnknown;
        return error;
    }

    // Callers refused together must not come back together.
    void spreadReturn(Error& error)
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

Gateway::Gateway(Parts& parts, Coordinator& coordinator, PeerHub& hub)
    : m_parts(parts)
    , m_coordinator(coordinator)
    , m_hub(hub)
    , m_executor(parts)
    , m_forwarder(parts, coordinator, hub)
{
}

Gateway::~Gateway() = default;

asio::awaitable<void> Gateway::handle(RequestMessage message, AnswerSink& sink)
{
    const Lifecycle::Guard guard(m_parts.lifecycle);
    const auto parent = parseTraceparent(findHeader(message.headers, "traceparent").value_or(""));
    auto span = parent ? m_parts.startSpan(*parent, "entry") : m_parts.startSpan(startTrace(threadRandom()), "entry");
    if (!parent)
        span.parentId = {};
    span.attributes = { { "method", message.method }, { "target", message.target }, { "region", m_parts.settings.region } };
    HeaderFields extra { { "traceparent", formatTraceparent(span.context) } };
    TracedSink traced(sink, extra.front().value);
    const auto begun = m_parts.clock.now();
    auto result = co_await handleCaller(std::move(message), traced, span.context, extra);
    if (!result) {
        spreadReturn(result.error());
        span.attributes.emplace_back("error", std::string(result.error().code()));
        co_await sink.fail(result.error(), extra);
    }
    const auto outcome = result ? std::string_view("ok") : result.error().code();
    m_parts.metrics.counter("yuccashift_requests_total", { { "outcome", outcome } }).add();
    m_parts.metrics.latency("yuccashift_request_seconds").record(m_parts.clock.now() - begun);
    m_parts.endSpan(std::move(span), !result);
}

asio::awaitable<Result<void>> Gateway::handleCaller(RequestMessage message, AnswerSink& sink, const TraceContext& trace, HeaderFields& extra)
{
    if (message.target == entriesPath)
        co_return co_await answerEntries(message, sink);
    const bool keyed = findHeader(message.headers, "Idempotency-Key").has_value();
    const auto context = admitLocal(std::move(message), trace);
    if (!context)
        co_return tl::unexpected(unlessRunBefore(context.error(), keyed));
    const auto now = m_parts.clock.now();
    const auto& traits = context->traits;
    // A key that this instance may have run is still answered while it drains.
    const bool answersKeys = keyed && !traits.idempotent && m_parts.lifecycle.draining();
    if (const auto ready = checkReady(); !ready && !answersKeys)
        co_return tl::unexpected(unlessRunBefore(ready.error(), keyed));
    if (const auto admitted = m_parts.limits.admit(traits.service, *context->organisation, now); !admitted)
        co_return tl::unexpected(unlessRunBefore(admitted.error(), keyed));
    auto result = co_await serve(*context, sink, false);
    m_parts.limits.onFinish(traits.service, *context->organisation);
    m_parts.metrics.latency("yuccashift_service_seconds", { { "service", traits.service }, { "priority", toString(traits.priority) } }).record(m_parts.clock.now() - now);
    if (!result && result.error().kind == ErrorKind::KeyRequired)
        offerKey(*context, extra);
    co_return result;
}

Result<void> Gateway::checkReady() const
{
    if (m_parts.lifecycle.draining() || m_coordinator.superseded())
        return fail(ErrorKind::Draining);
    if (!m_coordinator.ready())
        return fail(ErrorKind::NotReady);
    return {};
}

Result<RequestContext> Gateway::admitLocal(RequestMessage message, const TraceContext& trace)
{
    constexpr std::size_t requestIdLength = 32;
    Arrival arrival { m_parts.self.instance, m_parts.settings.region, m_parts.clock.now(), trace, {} };
    arrival.requestId = toHex(startTrace(threadRandom()).traceId).substr(0, requestIdLength);
    return admitRequest(*m_parts.routes(), std::move(message), arrival);
}

void Gateway::offerKey(const RequestContext& context, HeaderFields& extra)
{
    if (!contains(context.traits.allowedRegions, m_parts.settings.region))
        return;
    const auto key = m_parts.minter.mint(context.organisation->name, m_parts.clock.now(), threadRandom());
    extra.push_back({ "Idempotency-Key", toString(key) });
}

asio::awaitable<Result<void>> Gateway::serve(const RequestContext& context, AnswerSink& sink, bool forwarded)
{
    if (!context.traits.idempotent && (!forwarded || !context.key.empty()))
        co_return co_await serveKeyed(context, sink, forwarded);
    if (forwarded)
        co_return co_await m_executor.run(context, sink);
    co_return co_await place(context, sink);
}

asio::awaitable<Result<void>> Gateway::serveKeyed(const RequestContext& context, AnswerSink& sink, bool forwarded)
{
    const auto key = parseMintedKey(context.key, context.organisation->name, m_parts.settings.peerKey);
    if (!key)
        co_return tl::unexpected(key.error());
    const auto belief = minterState(key->instance, context);
    const KeyOwner owner { m_parts.self.instance, m_parts.self.incarnation, m_parts.startedAt, m_parts.settings.bounds.keyLifetime };
    const auto route = routeKey(*key, owner, belief, forwarded, m_parts.clock.now());
    switch (route.action) {
    case KeyAction::RunHere:
        co_return co_await runKeyed(context, *key, sink);
    case KeyAction::Forward:
        co_return co_await m_forwarder.toMinter(context, route.instance, sink);
    case KeyAction::Refuse:
        break;
    }
    co_return tl::unexpected(route.error.value_or(Error { ErrorKind::Internal, {}, {}, {} }));
}

MinterBelief Gateway::minterState(const InstanceId& instance, const RequestContext& context) const
{
    auto belief = m_coordinator.minterState(instance);
    belief.reachable = m_hub.reachable(instance);
    const auto view = m_coordinator.view();
    const auto it = view->members.find(instance);
    belief.regionAllowed = it == view->members.end() || contains(context.traits.allowedRegions, it->second.info.region);
    return belief;
}

asio::awaitable<Result<void>> Gateway::runKeyed(const RequestContext& context, const MintedKey& key, AnswerSink& sink)
{
    const auto decision = m_parts.keys.begin(key, context.fingerprint, m_parts.clock.now());
    if (decision.verdict == KeyVerdict::Replay)
        co_return co_await replay(*decision.answer, sink);
    if (decision.verdict == KeyVerdict::Refuse)
        co_return tl::unexpected(decision.error.value_or(Error { ErrorKind::Internal, {}, {}, {} }));
    OpenRun run(m_parts.keys, decision.ticket);
    AnswerRecorder recorder(sink, mostStoredAnswerBytes, [&run](StoredAnswer answer) { run.finish(std::move(answer)); });
    Result<void> result;
    if (m_parts.lifecycle.draining())
        result = fail(ErrorKind::Draining);
    else
        result = co_await place(context, recorder);
    run.close(result);
    co_return result;
}

Decision Gateway::chooseRegion(const RequestContext& context, std::vector<RegionState>& states)
{
    const auto now = m_parts.clock.now();
    auto here = aggregateLoad(m_parts.backendStates(context.document(), context.traits), now);
    here.queueWait = std::max(here.queueWait, m_parts.gate(context.traits.service).expectedWait(context.traits));
    states = m_parts.regions.states(context.document(), context.traits, here, now);
    return m_parts.policies.region->choose(context.traits, context.document().spill, m_parts.settings.region, states, now, threadRandom());
}

asio::awaitable<Result<void>> Gateway::place(const RequestContext& context, AnswerSink& sink)
{
    const auto& here = m_parts.settings.region;
    const bool allowedHere = contains(context.traits.allowedRegions, here);
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
    if (chosen != here) {
        m_parts.metrics.counter("yuccashift_sent_away_total", { { "region", chosen } }).add();
        auto result = co_await m_forwarder.toRegion(context, chosen, sink);
        const bool mayStay = !result && allowedHere && !sink.started() && result.error().effectiveRunState() == RunState::NotRun;
        if (!mayStay)
            co_return result;
    }
    auto result = co_await m_executor.run(context, sink);
    if (result || sink.started() || result.error().effectiveRunState() != RunState::NotRun || !isLocalShortage(result.error()))
        co_return result;
    for (const auto& state : states) {
        const bool usable = state.name != here && state.reachable && contains(context.traits.allowedRegions, state.name);
        if (usable && state.name != chosen && context.document().spill.mode == SpillMode::WhenLoaded)
            co_return co_await m_forwarder.toRegion(context, state.name, sink);
    }
    co_return result;
}

asio::awaitable<Result<void>> Gateway::answerEntries(const RequestMessage& message, AnswerSink& sink)
{
    const auto body = entryAnswer(m_parts, m_coordinator, message);
    if (!body)
        co_return tl::unexpected(body.error());
    AnswerHead head { 200, { { "Content-Type", "application/json" }, { "Cache-Control", "no-store" } }, {} };
    co_await sendWhole(sink, std::move(head), *body);
    co_return Result<void> {};
}

void Gateway::onControl(const PeerIdentity& from, const wire::Frame& frame)
{
    const auto frames = m_coordinator.receive(from.instance, frame, m_parts.clock.now());
    for (const auto& outgoing : frames)
        m_hub.send(outgoing.to, outgoing.frame);
}

asio::awaitable<void> Gateway::onForward(PeerIdentity from, wire::Forward forward, AnswerSink& sink)
{
    const Lifecycle::Guard guard(m_parts.lifecycle);
    const auto parent = parseTraceparent(forward.traceparent);
    auto span = m_parts.startSpan(parent ? *parent : startTrace(threadRandom()), "receive");
    span.attributes = { { "from", from.instance }, { "region", m_parts.settings.region } };
    Arrival arrival { m_parts.self.instance, m_parts.settings.region, m_parts.clock.now(), span.context, {} };
    Result<void> result;
    const auto context = admitForward(*m_parts.routes(), forward, arrival);
    if (!context)
        result = tl::unexpected(context.error());
    // Keys are still answered while draining: only this incarnation knows what became of them.
    else if (const auto ready = checkReady(); !ready && context->key.empty())
        result = ready;
    else
        result = co_await serve(*context, sink, true);
    if (!result) {
        span.attributes.emplace_back("error", std::string(result.error().code()));
        co_await sink.fail(result.error(), HeaderFields());
    }
    m_parts.metrics.counter("yuccashift_forwards_total", { { "outcome", result ? std::string_view("ok") : result.error().code() } }).add();
    m_parts.endSpan(std::move(span), !result);
}

} // namespace yuccashift
