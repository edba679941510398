#include "yuccashift/gateway/executor.hpp"

#include "yuccashift/answers/resume_plan.hpp"
#include "yuccashift/gateway/attempt.hpp"
#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/gateway/hedged_attempt.hpp"
#include "yuccashift/kernel/rendezvous.hpp"
#include "yuccashift/routing/latency_model.hpp"

#include <algorithm>

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    /** Spreads the instances over a few places by hashing, without asking which others there are. */
    class SpreadProbeOrder final : public ProbeOrder {
    public:
        explicit SpreadProbeOrder(const InstanceId& self)
            : m_self(self)
        {
        }
        std::size_t rankFor(PartHash part) const override { return rendezvousWeight(part, m_self) % places; }

    private:
        static constexpr std::size_t places = 12;
        const InstanceId& m_self;
    };

    /** Whether a new request is refused. */
    bool refusesQuarantined(GatewayComponents& components, const RequestContext& context)
    {
        const auto now = components.clock.now();
        const SpreadProbeOrder order(components.self.instance);
        return components.quarantine.isQuarantined(context.fingerprint, now)
            || components.promptQuarantine.findQuarantined(partsOfBlocks(context.traits.prefixBlocks), now, &order) != 0;
    }

    /** Whether nothing is sent again. */
    bool isQuarantined(GatewayComponents& components, const RequestContext& context)
    {
        const auto now = components.clock.now();
        return components.quarantine.isQuarantined(context.fingerprint, now)
            || components.promptQuarantine.anyQuarantined(partsOfBlocks(context.traits.prefixBlocks), now);
    }

    /** All attempts of one request in this region. */
    class Execution {
    public:
        Execution(GatewayComponents& components, const RequestContext& context, AnswerSink& sink)
            : m_components(components)
            , m_context(context)
            , m_traits(context.traits)
            , m_sink(sink)
            , m_relay(sink, context.resumeOffset, context.streamSoftware)
        {
        }

        asio::awaitable<Result<void>> run()
        {
            m_components.retryBudget.onRequest(m_traits.service, m_traits.organisation, m_context.document().retry);
            m_components.hedgeBudget.onRequest(m_traits.service, m_traits.organisation, m_context.document().hedge);
            for (;;) {
                const auto* backend = chooseBackend();
                if (backend == nullptr)
                    co_return tl::unexpected(final({ m_failure ? m_failure->kind : ErrorKind::NoBackend, m_failure ? m_failure->detail : "", {}, {} }));
                ++m_attempts;
                const auto result = co_await attempt(*backend);
                if (result)
                    break;
                m_failure = result.error();
                m_mayHaveRun = m_mayHaveRun || m_failure->effectiveRunState() != RunState::NotRun;
                updateExclusions(*backend);
                if (!mayRetry())
                    co_return tl::unexpected(final(*m_failure));
            }
            m_components.limits.chargeTokens(m_traits.service, *m_context.organisation, m_relay.tokensSent(), m_components.clock.now());
            co_return Result<void> {};
        }

    private:
        asio::awaitable<Result<void>> attempt(const BackendSpec& backend)
        {
            const auto delay = HedgeBudget::delay(m_context.document().hedge, m_traits, m_expectedLatency);
            if (delay && !m_context.streaming && m_attempts == 1)
                co_return co_await runHedged(
                    m_components, m_context, backend, [this, &backend] { return chooseHedgeServer(backend); }, *delay, m_sink);
            Attempt single(m_components, m_context, backend, m_relay, m_newConnection);
            co_return co_await single.run();
        }

        const BackendSpec* chooseHedgeServer(const BackendSpec& first)
        {
            m_traits.triedBackends.push_back(first.name);
            const auto* second = chooseBackend();
            if (second == nullptr || !m_components.hedgeBudget.tryHedge(m_traits, m_context.document().hedge))
                return nullptr;
            m_traits.triedBackends.push_back(second->name);
            return second;
        }

        const BackendSpec* chooseBackend()
        {
            const auto now = m_components.clock.now();
            if (now >= m_traits.deadline)
                return nullptr;
            auto states = m_components.backendStates(m_context.document(), m_traits);
            std::erase_if(states, [&](const BackendState& state) { return !mayRunOn(state, now) || !mayContinueAt(state.name); });
            const auto decision = m_components.policies.backend->choose(m_traits, states, now, threadRandom());
            if (!decision.chosen)
                return nullptr;
            // Refused before the first attempt, while the request has certainly not run:
            // the caller would no longer wait for the answer.
            if (m_attempts == 0 && missesDeadline(m_traits, states[*decision.chosen], now)) {
                m_failure = Error { ErrorKind::DeadlineUnreachable, {}, {}, {} };
                return nullptr;
            }
            m_expectedLatency = decision.candidates[*decision.chosen].expectedLatency.value_or(Duration::zero());
            const auto& backends = m_context.document().backends;
            const auto it = std::ranges::find(backends, states[*decision.chosen].name, &BackendSpec::name);
            return it == backends.end() ? nullptr : &*it;
        }

        bool mayContinueAt(const BackendName& name) const
        {
            if (!m_relay.streamSoftware().begun())
                return true;
            const auto inForce = m_components.documents.find(m_traits.service);
            return m_relay.streamSoftware().allows(softwareOfBackend(m_context.document(), inForce.get(), name));
        }

        bool mayRunOn(const BackendState& state, Instant now)
        {
            const auto fingerprints = m_components.inFlightRequests.fingerprintsOn({ m_traits.service, state.name });
            return m_components.quarantine.mayRunAlongside(m_context.fingerprint, fingerprints, now);
        }

        // The loss of a pooled connection does not prove a fault of its server, so the
        // server stays eligible and is retried over a new connection.
        void updateExclusions(const BackendSpec& backend)
        {
            if (!m_newConnection && mayReuseConnection(m_context) && m_failure->kind == ErrorKind::BackendLost)
                m_newConnection = true;
            else
                m_traits.triedBackends.push_back(backend.name);
        }

        bool mayRetry()
        {
            const auto& error = *m_failure;
            if (error.kind == ErrorKind::Cancelled || error.kind == ErrorKind::DeadlineExceeded)
                return false;
            const auto now = m_components.clock.now();
            if (isQuarantined(m_components, m_context)) {
                m_failure = Error { ErrorKind::Quarantined, {}, RunState::OutcomeUnknown, {} };
                return false;
            }
            const auto& retry = m_context.document().retry;
            if (m_attempts >= retry.attempts)
                return false;
            const bool certainlyNotRun = error.effectiveRunState() == RunState::NotRun;
            if (certainlyNotRun && !m_relay.started())
                return m_components.retryBudget.tryRetry(m_traits.service, m_traits.organisation, retry, m_attempts);
            return m_traits.idempotent && canResume(error, now) && m_components.retryBudget.tryRetry(m_traits.service, m_traits.organisation, retry, m_attempts);
        }

        bool canResume(const Error& error, Instant now) const
        {
            InterruptedAnswer broken;
            broken.cause = error.kind;
            broken.idempotent = m_traits.idempotent;
            broken.tokenStream = m_relay.isTokenStream();
            broken.started = m_relay.started();
            broken.deliveredTokens = m_relay.deliveredTokens();
            broken.attempts = m_attempts;
            broken.maxAttempts = m_context.document().retry.attempts;
            broken.budgetAllows = true;
            broken.otherServerUsable = true;
            broken.remaining = m_traits.deadline - now;
            return planResume(broken).action != ResumeAction::Fail;
        }

        // If the outcome of one attempt is unknown, so is that of the request.
        Error final(Error error)
        {
            if (m_components.clock.now() >= m_traits.deadline && !m_failure)
                error = { ErrorKind::DeadlineExceeded, {}, RunState::NotRun, {} };
            if (m_mayHaveRun && error.effectiveRunState() == RunState::NotRun)
                error.runState = RunState::OutcomeUnknown;
            return error;
        }

        GatewayComponents& m_components;
        const RequestContext& m_context;
        RequestTraits m_traits;
        AnswerSink& m_sink;
        AnswerRelay m_relay;
        std::uint32_t m_attempts = 0;
        bool m_mayHaveRun = false;
        /** Expected latency of the whole answer on the last chosen server. */
        Duration m_expectedLatency {};
        bool m_newConnection = false;
        std::optional<Error> m_failure;
    };

} // namespace

Executor::Executor(GatewayComponents& components)
    : m_components(components)
{
}

asio::awaitable<Result<void>> Executor::run(const RequestContext& context, AnswerSink& sink)
{
    auto span = m_components.startSpan(context.trace, "execute");
    span.attributes = { { "region", m_components.settings.region }, { "service", context.traits.service } };
    Result<void> result;
    if (refusesQuarantined(m_components, context)) {
        result = fail(ErrorKind::Quarantined);
    } else {
        const auto permit = co_await m_components.gate(context.traits.service).admit(context.traits, context.organisation->weight, context.document().queueLimit);
        if (permit) {
            RequestContext traced = context;
            traced.trace = span.context;
            Execution execution(m_components, traced, sink);
            result = co_await execution.run();
        } else {
            result = tl::unexpected(permit.error());
        }
    }
    if (!result)
        span.attributes.emplace_back("error", std::string(result.error().code()));
    m_components.endSpan(std::move(span), !result);
    co_return result;
}

} // namespace yuccashift
