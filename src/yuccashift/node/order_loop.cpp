#include "yuccashift/node/order_loop.hpp"

#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/membership/coordinator.hpp"

#include <algorithm>

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr milliseconds reconcileInterval { 1000 };

} // namespace

OrderLoop::OrderLoop(LoopContext context, EngineControl& control, const LoadReportLoop& loadLoop)
    : m_context(context)
    , m_control(control)
    , m_loadLoop(loadLoop)
    , m_ownership(context.components.self.instance, {})
    , m_planner({})
    , m_pacer({})
{
}

asio::awaitable<void> OrderLoop::run()
{
    for (;;) {
        // Other instances send the orders while this one is not ready or shuts down, or has not confirmed its
        // membership view since the last pause of its process.
        const auto view = m_context.coordinator.view();
        if (m_context.coordinator.ready() && view->confirmed && !m_context.components.lifecycle.draining())
            co_await reconcileRegion();
        co_await sleepFor(reconcileInterval);
    }
}

std::vector<DesiredEngineState> OrderLoop::regionPlacement() const
{
    const auto documents = m_context.components.documents.activeDocuments();
    auto placement = desiredPlacement(documents);
    std::erase_if(placement, [&](const DesiredEngineState& engine) { return engine.region != m_context.components.settings.region; });
    return placement;
}

asio::awaitable<void> OrderLoop::reconcileRegion()
{
    const auto placement = regionPlacement();
    std::vector<RegionalBackend> backends;
    backends.reserve(placement.size());
    for (const auto& engine : placement)
        backends.push_back({ engine.service, engine.backend, engine.region });
    m_ownership.update(backends, ownerCandidates(m_context), m_context.components.clock.now());
    m_planner.retain(placement);
    for (const auto& engine : placement)
        co_await reconcileEngine(engine);
}

asio::awaitable<void> OrderLoop::reconcileEngine(const DesiredEngineState& engine)
{
    const auto report = m_loadLoop.lastReportOf({ engine.service, engine.backend });
    if (!report)
        co_return;
    const auto now = m_context.components.clock.now();
    const auto actingSince = m_ownership.actingSince({ engine.service, engine.backend, engine.region }, now);
    const auto orders = m_planner.nextOrders(engine, *report, actingSince, now);
    for (const auto& order : orders) {
        if (order.kind == OrderKind::LoadModel && !m_pacer.tryStartLoad(m_context.components.senderCount, m_context.components.clock.now())) {
            m_planner.markNotSent(engine);
            co_return;
        }
        const auto sent = co_await m_control.order(engine.address, order);
        logInfo("engine order sent", { { "backend", engine.backend }, { "kind", toString(order.kind) }, { "fence", order.fencingToken }, { "outcome", sent ? "ok" : sent.error().code() } });
        if (!sent) {
            m_planner.markNotSent(engine);
            co_return;
        }
    }
}

} // namespace yuccashift
