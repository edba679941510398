#include "yuccashift/gateway/executor.hpp"

#include "yuccashift/answers/resume_plan.hpp"
#include "yuccashift/gateway/attempt.hpp"
#include "yuccashift/gateway/hedged_attempt.hpp"
#include "yuccashift/gateway/parts.hpp"
#include "yuccashift/routing/latency_model.hpp"

#include <algorithm>

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    /** All sendings of one request. */
    class Execution {
    public:
        Execution(Parts& parts, const RequestContext& context, AnswerSink& sink)
            : m_parts(parts)
            , m_context(context)
            , m_traits(context.traits)
            , m_sink(sink)
            , m_relay(sink, context.resumeOffset)
        {
        }

        asio::awaitable<Result<void>> run()
        {
            m_parts.retries.onRequest(m_traits.service, m_traits.organisation, m_context.document().retry);
            m_parts.hedges.onRequest(m_traits.service, m_traits.organisation, m_context.document().hedge);
            for (;;) {
                const auto* backend = choose();
                if (backend == nullptr)
                    co_return tl::unexpected(final({ m_failure ? m_failure->kind : ErrorKind::NoBackend, m_failure ? m_failure->detail : "", {}, {} }));
                ++m_attempts;
                const auto result = co_await attempt(*backend);
                if (result)
                    break;
                m_failure = result.error();
                m_mayHaveRun = m_mayHaveRun || m_failure->effectiveRunState() != RunState::NotRun;
                noteFailed(*backend);
                if (!mayRetry())
                    co_return tl::unexpected(final(*m_failure));
            }
            m_parts.limits.chargeTokens(m_traits.service, *m_context.organisation, m_relay.tokensSent(), m_parts.clock.now());
            co_return Result<void> {};
        }

    private:
        asio::awaitable<Result<void>> attempt(const BackendSpec& backend)
        {
            const auto delay = HedgeBudget::delay(m_context.document().hedge, m_traits, m_expected);
            if (delay && !m_context.streaming && m_attempts == 1)
                co_return co_await runHedged(
                    m_parts, m_context, backend, [this, &backend] { return chooseHedge(backend); }, *delay, m_sink);
            Attempt single(m_parts, m_context, backend, m_relay, m_fresh);
            co_return co_await single.run();
        }

        const BackendSpec* chooseHedge(const BackendSpec& first)
        {
            m_traits.triedBackends.push_back(first.name);
            const auto* second = choose();
            if (second == nullptr || !m_parts.hedges.tryHedge(m_traits, m_context.document().hedge))
                return nullptr;
            m_traits.triedBackends.push_back(second->name);
            return second;
        }

        const BackendSpec* choose()
        {
            const auto now = m_parts.clock.now();
            if (now >= m_traits.deadline)
                return nullptr;
            auto states = m_parts.backendStates(m_context.document(), m_traits);
            std::erase_if(states, [&](const BackendState& state) { return !mayJoin(state, now); });
            const auto decision = m_parts.policies.backend->choose(m_traits, states, now, threadRandom());
            if (!decision.chosen)
                return nullptr;
            // Refused while it certainly has not run, in place of work whose answer nobody waits for.
            if (m_attempts == 0 && missesDeadline(m_traits, states[*decision.chosen], now)) {
                m_failure = Error { ErrorKind::DeadlineUnreachable, {}, {}, {} };
                return nullptr;
            }
            m_expected = decision.candidates[*decision.chosen].expectedLatency.value_or(Duration::zero());
            const auto& backends = m_context.document().backends;
            const auto it = std::ranges::find(backends, states[*decision.chosen].name, &BackendSpec::name);
            return it == backends.end() ? nullptr : &*it;
        }

        bool mayJoin(const BackendState& state, Instant now)
        {
            const auto others = m_parts.inProgress.on({ m_traits.service, state.name });
            return m_parts.quarantine.mayRunAlongside(m_context.fingerprint, others, now);
        }

        // A pooled connection that went silent says nothing of its server, which
        // gets another try over a new one.
        void noteFailed(const BackendSpec& backend)
        {
            if (!m_fresh && mayReuseConnection(m_context) && m_failure->kind == ErrorKind::BackendLost)
                m_fresh = true;
            else
                m_traits.triedBackends.push_back(backend.name);
        }

        bool mayRetry()
        {
            const auto& error = *m_failure;
            if (error.kind == ErrorKind::Cancelled || error.kind == ErrorKind::DeadlineExceeded)
                return false;
            const auto now = m_parts.clock.now();
            if (m_parts.quarantine.isQuarantined(m_context.fingerprint, now)) {
                m_failure = Error { ErrorKind::Quarantined, {}, RunState::OutcomeUnknown, {} };
                return false;
            }
            const auto& retry = m_context.document().retry;
            if (m_attempts >= retry.attempts)
                return false;
            const bool certainlyNotRun = error.effectiveRunState() == RunState::NotRun;
            if (certainlyNotRun && !m_relay.started())
                return m_parts.retries.tryRetry(m_traits.service, m_traits.organisation, retry, m_attempts);
            return m_traits.idempotent && planAllows(error, now) && m_parts.retries.tryRetry(m_traits.service, m_traits.organisation, retry, m_attempts);
        }

        bool planAllows(const Error& error, Instant now) const
        {
            BrokenAnswer broken;
            broken.cause = error.kind;
            broken.idempotent = m_traits.idempotent;
            broken.tokenStream = m_relay.isTokenStream();
            broken.started = m_relay.started();
            broken.tokens = m_relay.tokens();
            broken.attempts = m_attempts;
            broken.maxAttempts = m_context.document().retry.attempts;
            broken.budgetAllows = true;
            broken.otherServerFit = true;
            broken.remaining = m_traits.deadline - now;
            return planResume(broken).action != ResumeAction::Fail;
        }

        // One sending whose outcome is unknown makes the whole request's unknown.
        Error final(Error error)
        {
            if (m_parts.clock.now() >= m_traits.deadline && !m_failure)
                error = { ErrorKind::DeadlineExceeded, {}, RunState::NotRun, {} };
            if (m_mayHaveRun && error.effectiveRunState() == RunState::NotRun)
                error.runState = RunState::OutcomeUnknown;
            return error;
        }

        Parts& m_parts;
        const RequestContext& m_context;
        RequestTraits m_traits;
        AnswerSink& m_sink;
        AnswerRelay m_relay;
        std::uint32_t m_attempts = 0;
        bool m_mayHaveRun = false;
        /** Expected time to the end of the answer on the server chosen last. */
        Duration m_expected {};
        bool m_fresh = false;
        std::optional<Error> m_failure;
    };

} // namespace

Executor::Executor(Parts& parts)
    : m_parts(parts)
{
}

asio::awaitable<Result<void>> Executor::run(const RequestContext& context, AnswerSink& sink)
{
    auto span = m_parts.startSpan(context.trace, "execute");
    span.attributes = { { "region", m_parts.settings.region }, { "service", context.traits.service } };
    Result<void> result;
    if (m_parts.quarantine.isQuarantined(context.fingerprint, m_parts.clock.now())) {
        result = fail(ErrorKind::Quarantined);
    } else {
        const auto permit = co_await m_parts.gate(context.traits.service).admit(context.traits, context.organisation->weight, context.document().queueLimit);
        if (permit) {
            RequestContext traced = context;
            traced.trace = span.context;
            Execution execution(m_parts, traced, sink);
            result = co_await execution.run();
        } else {
            result = tl::unexpected(permit.error());
        }
    }
    if (!result)
        span.attributes.emplace_back("error", std::string(result.error().code()));
    m_parts.endSpan(std::move(span), !result);
    co_return result;
}

} // namespace yuccashift
