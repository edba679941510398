#include "yuccashift/gateway/operator_api.hpp"

#include "yuccashift/gateway/gateway.hpp"
#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/gateway/status.hpp"
#include "yuccashift/membership/coordinator.hpp"

#include <openssl/crypto.h>

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr std::string_view tracePrefix = "/v1/trace/";
    constexpr int httpOk = 200;
    constexpr int httpUnavailable = 503;

    AnswerHead makeHead(int status, std::string contentType)
    {
        return { status, { { "Content-Type", std::move(contentType) } }, {} };
    }

} // namespace

HealthApi::HealthApi(GatewayComponents& components, const Coordinator& coordinator)
    : m_components(components)
    , m_coordinator(coordinator)
{
}

asio::awaitable<bool> HealthApi::tryHandle(const RequestMessage& message, AnswerSink& sink)
{
    if (message.target == "/healthz") {
        auto head = makeHead(httpOk, "text/plain");
        co_await sendComplete(sink, std::move(head), "ok\n");
        co_return true;
    }
    if (message.target == "/readyz") {
        const bool ready = m_coordinator.ready() && !m_coordinator.superseded() && !m_components.lifecycle.draining();
        auto head = makeHead(ready ? httpOk : httpUnavailable, "text/plain");
        co_await sendComplete(sink, std::move(head), ready ? "ready\n" : "not ready\n");
        co_return true;
    }
    if (message.target == "/metrics") {
        m_components.metrics.gauge("yuccashift_in_progress").set(m_components.lifecycle.inProgress());
        m_components.metrics.gauge("yuccashift_keys").set(static_cast<std::int64_t>(m_components.keys.size()));
        m_components.metrics.gauge("yuccashift_members").set(static_cast<std::int64_t>(m_coordinator.view()->members.size()));
        const auto& memory = m_components.memory;
        m_components.metrics.gauge("yuccashift_connection_memory_bytes", { { "use", toString(MemoryUse::Requests) } }).set(static_cast<std::int64_t>(memory.held(MemoryUse::Requests)));
        m_components.metrics.gauge("yuccashift_connection_memory_limit_bytes").set(static_cast<std::int64_t>(memory.limit()));
        m_components.metrics.gauge("yuccashift_connection_memory_evictions").set(static_cast<std::int64_t>(memory.counts().evictions));
        m_components.metrics.gauge("yuccashift_connection_memory_refusals").set(static_cast<std::int64_t>(memory.counts().refusals));
        const auto text = m_components.metrics.renderPrometheus();
        auto head = makeHead(httpOk, "text/plain; version=0.0.4");
        co_await sendComplete(sink, std::move(head), text);
        co_return true;
    }
    co_return false;
}

OperatorApi::OperatorApi(GatewayComponents& components, Coordinator& coordinator, Gateway& gateway, std::function<void()> drain)
    : m_components(components)
    , m_coordinator(coordinator)
    , m_gateway(gateway)
    , m_drain(std::move(drain))
    , m_health(components, coordinator)
{
}

bool OperatorApi::authorised(const RequestMessage& message) const
{
    const auto expected = "Bearer " + m_components.settings.operatorToken;
    const auto received = findHeader(message.headers, "Authorization").value_or("");
    return received.size() == expected.size() && CRYPTO_memcmp(received.data(), expected.data(), expected.size()) == 0;
}

asio::awaitable<void> OperatorApi::handle(RequestMessage message, AnswerSink& sink)
{
    const bool handled = co_await m_health.tryHandle(message, sink);
    if (handled)
        co_return;
    Result<std::string> body = fail(ErrorKind::Unauthenticated);
    if (authorised(message))
        body = answer(message);
    if (!body) {
        co_await sink.fail(body.error(), HeaderFields());
        co_return;
    }
    auto head = makeHead(httpOk, "application/json");
    co_await sendComplete(sink, std::move(head), *body);
}

Result<std::string> OperatorApi::answer(const RequestMessage& message)
{
    const std::string_view target = message.target;
    if (message.method == "GET" && target == "/v1/status")
        return statusJson(m_components, m_coordinator);
    if (message.method == "POST" && target == "/v1/explain")
        return explainJson(m_components, m_gateway, message.body);
    if (message.method == "GET" && target.starts_with(tracePrefix)) {
        return parseTraceId(target.substr(tracePrefix.size())).map([&](const TraceId& id) { return traceJson(m_components, id); });
    }
    if (message.method == "POST" && target == "/v1/drain") {
        m_drain();
        return statusJson(m_components, m_coordinator);
    }
    return fail(ErrorKind::UnknownRoute);
}

CallerApi::CallerApi(GatewayComponents& components, const Coordinator& coordinator, Gateway& gateway)
    : m_health(components, coordinator)
    , m_gateway(gateway)
{
}

asio::awaitable<void> CallerApi::handle(RequestMessage message, AnswerSink& sink)
{
    const bool handled = co_await m_health.tryHandle(message, sink);
    if (handled)
        co_return;
    co_await m_gateway.handle(std::move(message), sink);
}

} // namespace yuccashift
