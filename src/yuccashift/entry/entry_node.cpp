#include "yuccashift/entry/entry_node.hpp"

#include "yuccashift/config/watcher_choice.hpp"
#include "yuccashift/entry/directory_choice.hpp"
#include "yuccashift/entry/entry_core.hpp"
#include "yuccashift/entry/gossip.hpp"
#include "yuccashift/entry/request_job.hpp"
#include "yuccashift/entry/server_prober.hpp"
#include "yuccashift/entry/snapshot_exchange.hpp"
#include "yuccashift/http/inbound.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/resilience/pause_detector.hpp"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <sys/resource.h>

namespace yuccashift {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    std::int64_t millisecondsOf(const timeval& time)
    {
        constexpr std::int64_t perSecond = 1000;
        return time.tv_sec * perSecond + time.tv_usec / perSecond;
    }

    constexpr Duration tickInterval = milliseconds(50);
    /** Log lines and gauges follow at this pace. */
    constexpr std::uint64_t ticksBetweenReports = 2;
    /** Least time between SIGTERM and the end, so that callers with an older directory answer find this instance alive. */
    constexpr double noticeShareOfGrace = 0.45;
    /** Part of the grace after which what is still in progress is given up. */
    constexpr double lastShareOfGrace = 0.95;
    /** Descriptors that are not for callers' connections: servers, instances, listeners, files. */
    constexpr double callerDescriptorShare = 0.6;
    /** Instances that may be added to those seen. */
    constexpr std::size_t unseenInstances = 3;
    /** Directory answers are to count for so long, so that a stop is soon known to all callers. */
    constexpr Duration directoryValidity = seconds(1);
    /** Some callers hold a directory answer so many times as long. */
    constexpr double heldAnswerFactor = 3;
    constexpr Duration pauseThreshold = seconds(1);
    /** In a region of so few, passing changes on saves little and costs a step. */
    constexpr std::size_t instancesThatAllWatch = 4;

    /** Answers one small question and nothing else. */
    class QuestionHandler final : public InboundHandler {
    public:
        using Answer = std::function<void(InboundExchange&)>;
        explicit QuestionHandler(Answer answer)
            : m_answer(std::move(answer))
        {
        }

        void onRequest(std::shared_ptr<InboundExchange> exchange) override { m_answer(*exchange); }
        InboundLimits limits() const override { return {}; }
        bool closing() const override { return false; }

    private:
        Answer m_answer;
    };

    void sendText(InboundExchange& exchange, int status, std::string_view type, std::string_view body)
    {
        AnswerHead head;
        head.status = status;
        if (!type.empty())
            head.headers.push_back({ "Content-Type", std::string(type) });
        exchange.sendWhole(std::move(head), body);
    }

} // namespace

struct EntryNode::State final : StoreListener, FleetObserver {
    State(EntrySettings settings, EntryAdapters entryAdapters);

    /** Requests of callers. */
    struct CallerHandler final : InboundHandler {
        explicit CallerHandler(State& state)
            : owner(state)
        {
        }
        void onRequest(std::shared_ptr<InboundExchange> exchange) override { RequestJob::start(owner.core, std::move(exchange), std::nullopt); }
        InboundLimits limits() const override;
        bool closing() const override { return owner.core.draining(); }
        State& owner;
    };
    /** Requests of other instances. */
    struct PeerHandler final : InboundHandler {
        explicit PeerHandler(State& state)
            : owner(state)
        {
        }
        void onRequest(std::shared_ptr<InboundExchange> exchange) override;
        InboundLimits limits() const override;
        bool closing() const override { return false; }
        State& owner;
    };

    void onChanges(const std::vector<ItemChange>&, std::int64_t through) override;
    void onListing(const std::vector<ItemChange>&, std::int64_t through) override;
    void onReachable(bool reachable, std::string_view reason) override;
    void onServerGone(const BackendServer&) override;
    void onServerAdded(const BackendServer&) override;
    void onConfig(const RouteIndex&) override;

    Result<void> listen();
    void answerDirectory(InboundExchange&);
    void answerReadiness(InboundExchange&);
    void answerOperator(InboundExchange&);
    bool ready() const { return !core.draining() && core.fleetState.configVersion() > 0; }
    void tick();
    void chooseWatching();
    void report();
    void waitForSignal();
    void reload();
    void drain();
    void checkDrained();
    void stop();

    SystemClock clock;
    EntryAdapters adapters;
    asio::io_context io { 1 };
    EntryCore core;
    Gossip gossip;
    ServerProber probes;
    SnapshotExchange snapshots;
    std::unique_ptr<StoreReader> store;
    CallerHandler callerHandler { *this };
    PeerHandler peerHandler { *this };
    QuestionHandler directoryHandler { [this](InboundExchange& exchange) { answerDirectory(exchange); } };
    QuestionHandler readinessHandler { [this](InboundExchange& exchange) { answerReadiness(exchange); } };
    QuestionHandler operatorHandler { [this](InboundExchange& exchange) { answerOperator(exchange); } };
    InboundServer callers { io, clock, callerHandler };
    InboundServer peers { io, clock, peerHandler };
    InboundServer directory { io, clock, directoryHandler };
    InboundServer readiness { io, clock, readinessHandler };
    InboundServer operators { io, clock, operatorHandler };
    asio::steady_timer timer { io };
    asio::signal_set signals { io, SIGTERM, SIGINT, SIGHUP };
    PauseDetector pauses { pauseThreshold };
    std::uint64_t ticks = 0;
    bool watching = true;
    bool storeReachable = true;
    Instant storeLostAt {};
};

EntryNode::State::State(EntrySettings settings, EntryAdapters entryAdapters)
    : adapters(std::move(entryAdapters))
    , core(io, clock, std::move(settings), adapters.protocol, adapters.decoder, makeSystemRandom())
    , gossip(core)
    , probes(core)
    , snapshots(core)
    , store(adapters.makeStore(io, clock, core.settings.storeEndpoint))
{
    core.fleetState.setObserver(this);
    core.retryBudget.setInstanceCount(core.peerTable.knownInstanceCount() + unseenInstances);
}

InboundLimits EntryNode::State::CallerHandler::limits() const
{
    const auto routes = owner.core.fleetState.routes();
    auto limits = routes ? routes->config().limits : InboundLimits();
    limits.connections = static_cast<std::size_t>(callerDescriptorShare * static_cast<double>(owner.core.settings.maxFileDescriptors));
    return limits;
}

InboundLimits EntryNode::State::PeerHandler::limits() const
{
    // What a caller's instance has accepted is not refused for its size here.
    InboundLimits limits;
    limits.headerBytes = 256 * 1024;
    limits.bodyBytes = 64 << 20;
    limits.idleTimeout = seconds(30);
    return limits;
}

void EntryNode::State::PeerHandler::onRequest(std::shared_ptr<InboundExchange> exchange)
{
    if (owner.snapshots.answer(*exchange))
        return;
    auto order = extractHopMetadata(exchange->request().headers);
    if (!order)
        return sendText(*exchange, 400, "text/plain", "not a request of an instance\n");
    RequestJob::start(owner.core, std::move(exchange), std::move(order));
}

void EntryNode::State::onChanges(const std::vector<ItemChange>& changes, std::int64_t through)
{
    const auto before = core.fleetState.replica().revision();
    core.fleetState.apply(changes, through);
    if (watching)
        gossip.forwardChanges(before);
}

void EntryNode::State::onListing(const std::vector<ItemChange>& items, std::int64_t through)
{
    logInfo("published items read", { { "items", items.size() }, { "revision", through } });
    core.fleetState.replaceAll(items, through);
}

void EntryNode::State::onReachable(bool reachable, std::string_view reason)
{
    if (reachable == storeReachable)
        return;
    storeReachable = reachable;
    if (!reachable) {
        storeLostAt = clock.now();
        logWarning("store lost", { { "reason", reason }, { "revision", core.fleetState.replica().revision() } });
        return;
    }
    logInfo("store back", { { "away_ms", toMilliseconds(clock.now() - storeLostAt) }, { "revision", core.fleetState.replica().revision() } });
    core.fleetState.deferRemovals();
}

void EntryNode::State::onServerGone(const BackendServer& server)
{
    core.serverConnections.closeIdle(poolKeyOf(server));
    if (!server.draining)
        core.serverTracker.remove(server.identityHash);
}

void EntryNode::State::onServerAdded(const BackendServer& server)
{
    core.serverTracker.clearSuspect(server.identityHash);
}

void EntryNode::State::onConfig(const RouteIndex&)
{
}

Result<void> EntryNode::State::listen()
{
    const auto& settings = core.settings;
    auto bound = callers.listen(settings.callerEndpoint);
    if (bound)
        bound = readiness.listen(settings.readinessEndpoint);
    if (bound)
        bound = directory.listen(settings.directoryEndpoint);
    if (bound && settings.operatorEndpoint)
        bound = operators.listen(*settings.operatorEndpoint);
    if (bound)
        bound = peers.listen({ settings.ip, settings.peerPort });
    if (!bound)
        return tl::unexpected(bound.error());
    return gossip.start();
}

void EntryNode::State::answerDirectory(InboundExchange& exchange)
{
    const auto question = core.protocol.decodeDirectoryQuery(exchange.request());
    if (!question)
        return sendText(exchange, 404, "text/plain", "unknown question\n");
    DirectoryView view;
    view.self = { core.settings.region, core.settings.ip, ready() };
    for (const auto* member : core.peerTable.alive())
        view.others.push_back({ member->region, member->ip, member->takesCallers && !member->draining });
    const auto routes = core.fleetState.routes();
    const auto fitness = [&](const RegionName& region) {
        return core.regionDemand.servableShare(region, routes ? std::span<const Route>(routes->config().routes) : std::span<const Route>());
    };
    const auto named = chooseAddresses(view, question->region, fitness, core.settings.callerEndpoint.port);
    logInfo("directory answered", { { "host", question->host }, { "caller_region", question->region }, { "named", boost::algorithm::join(named, ",") }, { "heard", view.others.size() }, { "config", core.fleetState.configVersion() } });
    if (named.empty())
        return sendText(exchange, 503, "text/plain", "no instance takes callers\n");
    sendText(exchange, 200, "application/json", core.protocol.encodeDirectoryAnswer(named, std::min(directoryValidity, core.settings.maxDirectoryTtl)));
}

void EntryNode::State::answerReadiness(InboundExchange& exchange)
{
    if (!core.protocol.isReadinessProbe(exchange.request()))
        return sendText(exchange, 404, "text/plain", "unknown question\n");
    sendText(exchange, ready() ? 200 : 503, "text/plain", ready() ? "ready\n" : "not ready\n");
}

void EntryNode::State::answerOperator(InboundExchange& exchange)
{
    sendText(exchange, 200, "text/plain; version=0.0.4", core.metrics.renderPrometheus());
}

void EntryNode::State::tick()
{
    const auto now = clock.now();
    core.fleetState.tick();
    snapshots.tick();
    core.retryBudget.setInstanceCount(core.peerTable.knownInstanceCount() + unseenInstances);
    if (pauses.resumedFromPause(now, clock.wallNow())) {
        logWarning("resumed after a pause; reading everything again");
        store->resync();
    }
    chooseWatching();
    if (core.draining())
        checkDrained();
    if (++ticks % ticksBetweenReports == 0)
        report();
    timer.expires_after(tickInterval);
    timer.async_wait([this](const error_code& ec) {
        if (!ec)
            tick();
    });
}

void EntryNode::State::chooseWatching()
{
    // Instances that drain still know what is published; they only own nothing.
    const auto& region = core.settings.region;
    const auto live = core.peerTable.activeInstancesIn(region, !core.draining());
    const bool chosen = live.size() <= instancesThatAllWatch || isWatcher(core.settings.instance, region, live);
    if (chosen == watching)
        return;
    watching = chosen;
    logInfo(chosen ? "watches the store for its region" : "leaves watching to others", { { "instances", live.size() } });
    store->setWatching(chosen);
}

void EntryNode::State::report()
{
    auto& metrics = core.metrics;
    const auto counts = core.serverConnections.counts();
    metrics.gauge("yuccashift_requests_in_progress").set(static_cast<std::int64_t>(core.activeRequests.size()));
    metrics.gauge("yuccashift_caller_connections").set(static_cast<std::int64_t>(callers.connections()));
    metrics.gauge("yuccashift_server_connects").set(static_cast<std::int64_t>(counts.connects));
    metrics.gauge("yuccashift_server_connect_failures").set(static_cast<std::int64_t>(counts.connectFailures));
    metrics.gauge("yuccashift_stray_answers").set(static_cast<std::int64_t>(counts.strayAnswers));
    metrics.gauge("yuccashift_store_calls").set(static_cast<std::int64_t>(store->callCount()));
    metrics.gauge("yuccashift_store_reachable").set(storeReachable ? 1 : 0);
    metrics.gauge("yuccashift_store_revision").set(core.fleetState.replica().revision());
    metrics.gauge("yuccashift_config_version").set(core.fleetState.configVersion());
    metrics.gauge("yuccashift_instances_heard").set(static_cast<std::int64_t>(core.peerTable.alive().size()));
    rusage used {};
    ::getrusage(RUSAGE_SELF, &used);
    metrics.gauge("yuccashift_processor_milliseconds").set(millisecondsOf(used.ru_utime) + millisecondsOf(used.ru_stime));
    metrics.gauge("yuccashift_peak_memory_kilobytes").set(used.ru_maxrss);
    metrics.gauge("yuccashift_servers_known").set(static_cast<std::int64_t>(core.fleetState.servers().size()));
    if (adapters.flushLog)
        adapters.flushLog();
}

void EntryNode::State::waitForSignal()
{
    signals.async_wait([this](const error_code& ec, int number) {
        if (ec)
            return;
        if (number == SIGHUP)
            reload();
        else
            drain();
        waitForSignal();
    });
}

void EntryNode::State::reload()
{
    const auto settings = adapters.reloadSettings();
    if (!settings) {
        logWarning("settings not reloaded", { { "reason", settings.error().detail } });
        return;
    }
    core.settings.seedAddresses = settings->seedAddresses;
    gossip.setSeeds(settings->seedAddresses);
    logInfo("settings reloaded", { { "seeds", settings->seedAddresses.size() } });
}

void EntryNode::State::drain()
{
    if (core.draining())
        return;
    const auto now = clock.now();
    const auto allowed = std::chrono::duration_cast<Duration>(core.settings.shutdownGrace * lastShareOfGrace);
    const auto held = std::chrono::duration_cast<Duration>(heldAnswerFactor * std::min(directoryValidity, core.settings.maxDirectoryTtl));
    core.shutdown = GracefulShutdown { now, now + allowed, now + held };
    logInfo("graceful shutdown begins", { { "in_progress", core.activeRequests.size() } });
    gossip.sendHeartbeats();
}

void EntryNode::State::checkDrained()
{
    const auto grace = core.settings.shutdownGrace;
    const auto now = clock.now();
    if (now - core.shutdown->startedAt < grace * noticeShareOfGrace)
        return;
    if (!core.activeRequests.empty() && now < core.shutdown->endsBy)
        return;
    stop();
}

void EntryNode::State::stop()
{
    logInfo("graceful shutdown ends", { { "in_progress", core.activeRequests.size() } });
    callers.stop();
    io.stop();
}

EntryNode::EntryNode(EntrySettings settings, EntryAdapters adapters)
    : m_state(std::make_unique<State>(std::move(settings), std::move(adapters)))
{
}

EntryNode::~EntryNode() = default;

Result<void> EntryNode::listen()
{
    return m_state->listen();
}

void EntryNode::run()
{
    m_state->waitForSignal();
    m_state->probes.start();
    m_state->store->start(*m_state);
    m_state->tick();
    m_state->io.run();
}

} // namespace yuccashift
