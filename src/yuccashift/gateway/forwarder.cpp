#include "yuccashift/gateway/forwarder.hpp"

#include "peer_types.h"
#include "yuccashift/answers/resume_plan.hpp"
#include "yuccashift/gateway/answer_relay.hpp"
#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/kernel/cancellation.hpp"
#include "yuccashift/membership/coordinator.hpp"
#include "yuccashift/peer/peer_hub.hpp"

#include <algorithm>

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    /** Maximum number of instances of a region to which one request is sent. */
    constexpr std::uint32_t maxInstancesTried = 2;

    /** Sends one request to one instance and relays the answer. */
    asio::awaitable<Result<void>> forwardOnce(GatewayComponents& components, PeerHub& hub, const RequestContext& context, InstanceId instance, ForwardPurpose purpose, bool crossesRegion, AnswerRelay& relay)
    {
        const bool cancelled = co_await isCancelled();
        if (cancelled)
            co_return fail(ErrorKind::Cancelled);
        auto span = components.startSpan(context.trace, "forward");
        span.attributes = { { "to", instance } };
        RequestContext traced = context;
        traced.trace = span.context;
        traced.resumeOffset = relay.deliveredTokens();
        traced.streamSoftware = relay.streamSoftware();
        auto forward = makeForward(traced, purpose, components.clock.now(), crossesRegion);
        auto answer = co_await hub.forward(instance, std::move(forward), context.traits.deadline);
        Result<void> result;
        if (answer)
            // An instance of an earlier version names none, and may hold another revision of the document than the request's.
            result = co_await relay.run(**answer, (*answer)->head().software);
        else
            result = tl::unexpected(std::move(answer.error()));
        if (!result)
            span.attributes.emplace_back("error", std::string(result.error().code()));
        components.endSpan(std::move(span), !result);
        co_return result;
    }

    /** Whether the request may be sent to another instance after this error. */
    bool mayTryNextInstance(const RequestContext& context, const AnswerRelay& relay, const Error& error, std::uint32_t attempts, Instant now)
    {
        if (error.kind == ErrorKind::Cancelled || error.kind == ErrorKind::DeadlineExceeded)
            return false;
        if (error.effectiveRunState() == RunState::NotRun && !relay.started())
            return error.kind == ErrorKind::PeerLost || error.kind == ErrorKind::Draining || error.kind == ErrorKind::NotReady;
        if (error.kind != ErrorKind::PeerLost)
            return false;
        InterruptedAnswer broken;
        broken.cause = error.kind;
        broken.idempotent = context.traits.idempotent;
        broken.tokenStream = relay.isTokenStream();
        broken.started = relay.started();
        broken.deliveredTokens = relay.deliveredTokens();
        broken.attempts = attempts;
        broken.maxAttempts = maxInstancesTried;
        broken.budgetAllows = true;
        broken.otherServerUsable = true;
        broken.remaining = context.traits.deadline - now;
        return planResume(broken).action != ResumeAction::Fail;
    }

    void shuffle(std::vector<InstanceId>& instances)
    {
        for (std::size_t n = instances.size(); n > 1; --n)
            std::swap(instances[n - 1], instances[threadRandom().uniformBelow(n)]);
    }

} // namespace

Forwarder::Forwarder(GatewayComponents& components, const Coordinator& coordinator, PeerHub& hub)
    : m_components(components)
    , m_coordinator(coordinator)
    , m_hub(hub)
{
}

std::vector<InstanceId> Forwarder::reachableIn(const RegionName& region) const
{
    std::vector<InstanceId> instances;
    const auto view = m_coordinator.view();
    for (const auto& [instance, member] : view->members) {
        if (member.info.region == region && member.liveness == Liveness::Alive && m_hub.reachable(instance))
            instances.push_back(instance);
    }
    return instances;
}

asio::awaitable<Result<void>> Forwarder::forwardToRegion(const RequestContext& context, const RegionName& region, AnswerSink& sink)
{
    auto instances = reachableIn(region);
    shuffle(instances);
    AnswerRelay relay(sink, context.resumeOffset, context.streamSoftware);
    Error error { ErrorKind::PeerLost, "no instance of " + region + " can be reached", RunState::NotRun, {} };
    bool mayHaveRun = false;
    std::uint32_t attempts = 0;
    for (const auto& instance : instances) {
        m_components.regionLoadTracker.onSent(region, context.traits.service, m_components.clock.now());
        const auto result = co_await forwardOnce(m_components, m_hub, context, instance, ForwardPurpose::Execute, true, relay);
        if (result)
            co_return result;
        error = result.error();
        mayHaveRun = mayHaveRun || error.effectiveRunState() != RunState::NotRun;
        if (++attempts >= maxInstancesTried || !mayTryNextInstance(context, relay, error, attempts, m_components.clock.now()))
            break;
    }
    if (mayHaveRun && error.effectiveRunState() == RunState::NotRun)
        error.runState = RunState::OutcomeUnknown;
    co_return tl::unexpected(std::move(error));
}

asio::awaitable<Result<void>> Forwarder::forwardToMinter(const RequestContext& context, const InstanceId& minter, AnswerSink& sink)
{
    const auto view = m_coordinator.view();
    const auto it = view->members.find(minter);
    const bool crossesRegion = it == view->members.end() || it->second.info.region != m_components.settings.region;
    AnswerRelay relay(sink, 0);
    auto result = co_await forwardOnce(m_components, m_hub, context, minter, ForwardPurpose::CheckKey, crossesRegion, relay);
    // An earlier request with the same key may have run there, even if this one did not.
    if (!result && result.error().kind == ErrorKind::PeerLost)
        result.error().runState = RunState::OutcomeUnknown;
    co_return result;
}

} // namespace yuccashift
