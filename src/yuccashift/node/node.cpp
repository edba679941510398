#include "yuccashift/node/node.hpp"

#include "yuccashift/gateway/gateway.hpp"
#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/gateway/heartbeat_exchange.hpp"
#include "yuccashift/gateway/operator_api.hpp"
#include "yuccashift/kernel/detail/await.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/kernel/worker_pool.hpp"
#include "yuccashift/membership/coordinator.hpp"
#include "yuccashift/node/config_loop.hpp"
#include "yuccashift/node/export_loop.hpp"
#include "yuccashift/node/membership_loop.hpp"
#include "yuccashift/node/order_loop.hpp"
#include "yuccashift/peer/peer_hub.hpp"
#include "yuccashift/ports/http_platform.hpp"
#include "yuccashift/routing/entry_policy.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr std::uint32_t operatorConnections = 64;
    /** Time in which peers and callers learn that this instance stops, before it may exit. */
    constexpr milliseconds drainNotice { 1500 };
    constexpr milliseconds drainCheck { 50 };

    ServerLimits callerBounds(const InstanceLimits& settings)
    {
        ServerLimits bounds;
        bounds.maxConnections = settings.maxConnections;
        bounds.maxHeaderBytes = settings.maxHeaderBytes;
        bounds.maxBodyBytes = settings.maxBodyBytes;
        bounds.receiveTimeout = settings.receiveTimeout;
        return bounds;
    }

    ServerLimits operatorBounds(const InstanceLimits& settings)
    {
        auto bounds = callerBounds(settings);
        bounds.maxConnections = operatorConnections;
        return bounds;
    }

    LinkSettings linkSettings(const GatewayComponents& parts)
    {
        LinkSettings settings;
        settings.self = parts.self;
        settings.key = parts.settings.peerKey;
        return settings;
    }

    MemberInfo memberInfo(const GatewayComponents& parts, const NodeEndpoints& endpoints)
    {
        return { parts.self.instance, parts.self.incarnation, parts.settings.region, parts.settings.datacentre, endpoints.callers, endpoints.peers, false };
    }

} // namespace

struct Node::State {
    State(Settings settings, Policies policies)
        : parts(std::move(settings), std::move(policies), clock)
        , workers(parts.settings.threads)
        , hub(workers, linkSettings(parts), clock)
        , callers(workers, callerBounds(parts.settings.bounds))
        , operators(workers, operatorBounds(parts.settings.bounds))
        , signals(workers.primaryLoop(), SIGTERM, SIGINT)
    {
    }

    Result<void> listen();
    void assemble();
    void start();
    void drain();
    asio::awaitable<void> waitForSignal();
    asio::awaitable<void> waitUntilDrained();
    template <typename Loop>
    void spawn(Loop&& loop);

    SystemClock clock;
    GatewayComponents parts;
    WorkerPool workers;
    PeerHub hub;
    HttpServer callers;
    HttpServer operators;
    asio::signal_set signals;
    NodeEndpoints endpoints;
    std::atomic<bool> drainStarted { false };

    HeartbeatExchange feeds { parts };
    std::unique_ptr<Coordinator> coordinator;
    std::unique_ptr<Gateway> gateway;
    std::unique_ptr<CallerApi> callerApi;
    std::unique_ptr<OperatorApi> operatorApi;
    std::unique_ptr<ConfigSource> configSource;
    std::unique_ptr<InstanceList> instanceList;
    std::unique_ptr<EngineControl> engineControl;
    std::unique_ptr<ConfigLoop> configLoop;
    std::unique_ptr<MembershipLoop> membershipLoop;
    std::unique_ptr<LoadReportLoop> loadLoop;
    std::unique_ptr<OrderLoop> orderLoop;
};

Result<void> Node::State::listen()
{
    const auto& wanted = parts.settings.listen;
    const auto callersAt = callers.listen(wanted.callers);
    if (!callersAt)
        return tl::unexpected(callersAt.error());
    const auto peersAt = hub.listen(wanted.peers);
    if (!peersAt)
        return tl::unexpected(peersAt.error());
    const auto operatorsAt = operators.listen(wanted.operators);
    if (!operatorsAt)
        return tl::unexpected(operatorsAt.error());
    endpoints = { *callersAt, *peersAt, *operatorsAt };
    return {};
}

void Node::State::assemble()
{
    const CoordinatorHooks hooks { &feeds, &feeds, &feeds, &parts.quarantine };
    coordinator = std::make_unique<Coordinator>(memberInfo(parts, endpoints), parts.documents, hooks, makeSystemRandom());
    gateway = std::make_unique<Gateway>(parts, *coordinator, hub);
    callerApi = std::make_unique<CallerApi>(parts, *coordinator, *gateway);
    operatorApi = std::make_unique<OperatorApi>(parts, *coordinator, *gateway, [this] { drain(); });
    const auto& platform = parts.settings.platform;
    configSource = makeHttpConfigSource(*parts.backends, clock, platform.configService);
    instanceList = makeHttpInstanceList(*parts.backends, clock, platform.instanceList);
    engineControl = makeHttpEngineControl(*parts.backends, clock);
    const LoopContext context { parts, *coordinator, hub, feeds };
    configLoop = std::make_unique<ConfigLoop>(context, *configSource);
    membershipLoop = std::make_unique<MembershipLoop>(context, *instanceList);
    loadLoop = std::make_unique<LoadReportLoop>(context, *engineControl);
    orderLoop = std::make_unique<OrderLoop>(context, *engineControl, *loadLoop);
}

template <typename Loop>
void Node::State::spawn(Loop&& loop)
{
    asio::co_spawn(workers.primaryLoop(), std::forward<Loop>(loop), asio::detached);
}

void Node::State::start()
{
    hub.startAccepting(*gateway);
    callers.serve(*callerApi);
    operators.serve(*operatorApi);
    spawn(membershipLoop->pollInstanceList());
    spawn(membershipLoop->runTicks());
    spawn(configLoop->run());
    spawn(loadLoop->run());
    spawn(orderLoop->run());
    spawn(runSpanExport({ parts, *coordinator, hub, feeds }));
    spawn(waitForSignal());
    workers.start();
}

asio::awaitable<void> Node::State::waitForSignal()
{
    co_await signals.async_wait(detail::awaitTuple);
    drain();
}

void Node::State::drain()
{
    if (drainStarted.exchange(true))
        return;
    logInfo("graceful shutdown begins", { { "in_progress", parts.lifecycle.inProgress() } });
    parts.lifecycle.drain();
    coordinator->setDraining();
    spawn(waitUntilDrained());
}

asio::awaitable<void> Node::State::waitUntilDrained()
{
    co_await sleepFor(drainNotice);
    while (parts.lifecycle.inProgress() > 0)
        co_await sleepFor(drainCheck);
    callers.stop();
    operators.stop();
    // The last bytes of the last answers are on their way to their sockets.
    co_await sleepFor(drainCheck);
    logInfo("graceful shutdown ends");
    workers.stop();
}

Node::Node(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

Node::~Node()
{
    m_state->workers.stop();
    m_state->workers.join();
    // Pooled connections belong to the loops, which are destroyed before the pool.
    m_state->parts.backends->closeIdle();
}

Result<std::unique_ptr<Node>> Node::create(Settings settings)
{
    auto policies = makePolicies(settings.policies);
    if (!policies)
        return tl::unexpected(policies.error());
    auto state = std::make_unique<State>(std::move(settings), std::move(*policies));
    const auto listening = state->listen();
    if (!listening)
        return tl::unexpected(listening.error());
    state->assemble();
    return std::unique_ptr<Node>(new Node(std::move(state)));
}

const NodeEndpoints& Node::endpoints() const
{
    return m_state->endpoints;
}

void Node::run()
{
    m_state->start();
    m_state->workers.join();
}

void Node::drain()
{
    m_state->drain();
}

} // namespace yuccashift
