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

    constexpr std::uint32_t maxOperatorConnections = 64;
    constexpr std::uint32_t maxOperatorBodyBytes = 64 * 1024;
    /** Minimum time between the start of a shutdown and the exit, in which peers and callers learn of it. */
    constexpr milliseconds minDrainTime { 1500 };
    constexpr milliseconds drainPollInterval { 50 };

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
        bounds.maxConnections = maxOperatorConnections;
        bounds.maxBodyBytes = maxOperatorBodyBytes;
        return bounds;
    }

    LinkSettings linkSettings(const GatewayComponents& components)
    {
        LinkSettings settings;
        settings.self = components.self;
        settings.key = components.settings.peerKey;
        return settings;
    }

    MemberInfo memberInfo(const GatewayComponents& components, const NodeEndpoints& endpoints)
    {
        return { components.self.instance, components.self.incarnation, components.settings.region, components.settings.datacentre, endpoints.callers, endpoints.peers, false };
    }

} // namespace

struct Node::State {
    State(Settings settings, Policies policies)
        : components(std::move(settings), std::move(policies), clock)
        , workers(components.settings.threads)
        , hub(workers, linkSettings(components), clock)
        , callerServer(workers, callerBounds(components.settings.bounds), components.memory)
        , operatorServer(workers, operatorBounds(components.settings.bounds), components.memory)
        , signals(workers.primaryLoop(), SIGTERM, SIGINT)
    {
    }

    Result<void> listen();
    void createComponents();
    void start();
    void drain();
    asio::awaitable<void> waitForSignal();
    asio::awaitable<void> waitUntilDrained();
    template <typename Loop>
    void spawn(Loop&& loop);

    SystemClock clock;
    GatewayComponents components;
    WorkerPool workers;
    PeerHub hub;
    HttpServer callerServer;
    HttpServer operatorServer;
    asio::signal_set signals;
    NodeEndpoints endpoints;
    std::atomic<bool> drainStarted { false };

    HeartbeatExchange heartbeatExchange { components };
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
    const auto& addresses = components.settings.listen;
    const auto callerEndpoint = callerServer.listen(addresses.callers);
    if (!callerEndpoint)
        return tl::unexpected(callerEndpoint.error());
    const auto peerEndpoint = hub.listen(addresses.peers);
    if (!peerEndpoint)
        return tl::unexpected(peerEndpoint.error());
    const auto operatorEndpoint = operatorServer.listen(addresses.operators);
    if (!operatorEndpoint)
        return tl::unexpected(operatorEndpoint.error());
    endpoints = { *callerEndpoint, *peerEndpoint, *operatorEndpoint };
    return {};
}

void Node::State::createComponents()
{
    const CoordinatorHooks hooks { &heartbeatExchange, &heartbeatExchange, &heartbeatExchange, &components.quarantine, &components.promptQuarantine };
    coordinator = std::make_unique<Coordinator>(memberInfo(components, endpoints), components.documents, hooks, makeSystemRandom());
    gateway = std::make_unique<Gateway>(components, *coordinator, hub);
    callerApi = std::make_unique<CallerApi>(components, *coordinator, *gateway);
    operatorApi = std::make_unique<OperatorApi>(components, *coordinator, *gateway, [this] { drain(); });
    const auto& platform = components.settings.platform;
    configSource = makeHttpConfigSource(*components.backends, clock, platform.configService);
    instanceList = makeHttpInstanceList(*components.backends, clock, platform.instanceList);
    engineControl = makeHttpEngineControl(*components.backends, clock);
    const LoopContext context { components, *coordinator, hub, heartbeatExchange };
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
    callerServer.serve(*callerApi);
    operatorServer.serve(*operatorApi);
    spawn(membershipLoop->pollInstanceList());
    spawn(membershipLoop->runTicks());
    spawn(configLoop->run());
    spawn(loadLoop->run());
    spawn(orderLoop->run());
    spawn(runSpanExport({ components, *coordinator, hub, heartbeatExchange }));
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
    logInfo("graceful shutdown begins", { { "in_progress", components.lifecycle.inProgress() } });
    components.lifecycle.drain();
    coordinator->setDraining();
    spawn(waitUntilDrained());
}

asio::awaitable<void> Node::State::waitUntilDrained()
{
    co_await sleepFor(minDrainTime);
    while (components.lifecycle.inProgress() > 0)
        co_await sleepFor(drainPollInterval);
    callerServer.stop();
    operatorServer.stop();
    // Gives the last bytes of the last answers time to reach their sockets.
    co_await sleepFor(drainPollInterval);
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
    // Idle pooled connections use the event loops of the workers, which are destroyed before the connection pool.
    m_state->components.backends->closeIdle();
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
    state->createComponents();
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
