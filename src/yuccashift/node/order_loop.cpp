#include "yuccashift/node/order_loop.hpp"

#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/membership/coordinator.hpp"

#include <algorithm>

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr milliseconds roundInterval { 1000 };

} // namespace

OrderLoop::OrderLoop(LoopContext context, EngineControl& control, const LoadReportLoop& loads)
    : m_context(context)
    , m_control(control)
    , m_loads(loads)
    , m_ownership(context.components.self.instance, {})
    , m_planner({})
    , m_pacer({})
{
}

asio::awaitable<void> OrderLoop::run()
{
    for (;;) {
        // An instance that stops, or that has not heard anyone since it slept, leaves orders to others.
        const auto view = m_context.coordinator.view();
        if (m_context.coordinator.ready() && view->confirmed && !m_context.components.lifecycle.draining())
            co_await round();
        co_await sleepFor(roundInterval);
    }
}

std::vector<DesiredEngineState> OrderLoop::regionPlacement() const
{
    const auto documents = m_context.components.documents.activeDocuments();
    auto placement = desiredPlacement(documents);
    std::erase_if(placement, [&](const DesiredEngineState& engine) { return engine.region != m_context.components.settings.region; });
    return placement;
}

asio::awaitable<void> OrderLoop::round()
{
    const auto placement = regionPlacement();
    std::vector<RegionalBackend> backends;
    backends.reserve(placement.size());
    for (const auto& engine : placement)
        backends.push_back({ engine.service, engine.backend, engine.region });
    m_ownership.update(backends, ownerCandidates(m_context), m_context.components.clock.now());
    m_planner.retain(placement);
    for (const auto& engine : placement)
        co_await bringUpToDate(engine);
}

asio::awaitable<void> OrderLoop::bringUpToDate(const DesiredEngineState& engine)
{
    const auto view = m_loads.lastReportOf({ engine.service, engine.backend });
    if (!view)
        co_return;
    const auto now = m_context.components.clock.now();
    const auto actingSince = m_ownership.actingSince({ engine.service, engine.backend, engine.region }, now);
    const auto orders = m_planner.nextOrders(engine, *view, actingSince, now);
    for (const auto& order : orders) {
        if (order.kind == OrderKind::LoadModel && !m_pacer.tryStartLoad(m_context.components.senderCount, m_context.components.clock.now())) {
            m_planner.markNotSent(engine);
            co_return;
        }
        const auto given = co_await m_control.order(engine.address, order);
        logInfo("order given", { { "backend", engine.backend }, { "kind", toString(order.kind) }, { "fence", order.fencingToken }, { "outcome", given ? "ok" : given.error().code() } });
        if (!given) {
            m_planner.markNotSent(engine);
            co_return;
        }
    }
}

} // namespace yuccashift
