#include "yuccashift/entry/entry_node.hpp"

#include "yuccashift/config/watcher_selection.hpp"
#include "yuccashift/entry/directory_choice.hpp"
#include "yuccashift/entry/entry_core.hpp"
#include "yuccashift/entry/gossip.hpp"
#include "yuccashift/entry/peer_handler.hpp"
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

    std::int64_t toMillisecondCount(const timeval& time)
    {
        constexpr std::int64_t perSecond = 1000;
        return time.tv_sec * perSecond + time.tv_usec / perSecond;
    }

    constexpr Duration tickInterval = milliseconds(50);
    /** Ticks between two updates of the gauges, each followed by a flush of the log. */
    constexpr std::uint64_t ticksBetweenGaugeUpdates = 2;
    /** Minimum time from SIGTERM to exit, as a share of the grace period: callers with an older directory answer still connect to this instance. */
    constexpr double minShutdownShareOfGrace = 0.45;
    /** Share of the grace period after which requests still in progress are answered with a failure. */
    constexpr double abortShareOfGrace = 0.95;
    /** Share of the grace period until which answers that are not yet written are waited for. */
    constexpr double writeShareOfGrace = 0.98;
    /** Margin for instances that exist but have not been seen, when the retry budget is divided. */
    constexpr std::size_t unseenInstanceMargin = 3;
    /** Upper limit on the lifetime of directory answers, so that callers learn of a shutdown soon. */
    constexpr Duration directoryValidity = seconds(1);
    /** Some callers keep a directory answer for this multiple of its lifetime. */
    constexpr double staleDirectoryFactor = 3;
    constexpr Duration pauseThreshold = seconds(1);
    /** In regions of up to this many instances all watch the store: forwarding changes would save little and add a hop. */
    constexpr std::size_t maxInstancesAllWatching = 4;

    /** Handles every request of a listener with one function. */
    class FunctionHandler final : public InboundHandler {
    public:
        using Answer = std::function<void(InboundExchange&)>;
        FunctionHandler(const InboundLimits& limits, Answer answer)
            : m_limits(limits)
            , m_answer(std::move(answer))
        {
        }

        void onRequest(std::shared_ptr<InboundExchange> exchange) override { m_answer(*exchange); }
        InboundLimits limits() const override { return m_limits; }
        bool shouldCloseConnections() const override { return false; }

    private:
        const InboundLimits m_limits;
        Answer m_answer;
    };

    void sendText(InboundExchange& exchange, int status, std::string_view type, std::string_view body)
    {
        AnswerHead head;
        head.status = status;
        if (!type.empty())
            head.headers.push_back({ "Content-Type", std::string(type) });
        exchange.sendComplete(std::move(head), body);
    }

} // namespace

struct EntryNode::State final : StoreListener, FleetObserver {
    State(EntrySettings settings, EntryAdapters entryAdapters);

    /** Handles requests from callers. */
    struct CallerHandler final : InboundHandler {
        explicit CallerHandler(State& state)
            : owner(state)
        {
        }
        void onRequest(std::shared_ptr<InboundExchange> exchange) override { RequestJob::start(owner.core, std::move(exchange), std::nullopt); }
        InboundLimits limits() const override;
        bool shouldCloseConnections() const override { return owner.core.draining(); }
        State& owner;
    };

    void onChanges(const std::vector<ItemChange>&, const StorePosition& through) override;
    void onListing(const std::vector<ItemChange>&, const StorePosition& through) override;
    void onCurrent(const StorePosition& through) override;
    void onUnreachable(Instant since, std::string_view reason) override;
    void onReachable() override;
    void onServerGone(const BackendServer&) override;
    void onServerRemoved(const BackendServer&) override;
    void onServerAdded(const BackendServer&) override;
    void onConfig(const RouteIndex&) override;

    Result<void> listen();
    void answerDirectory(InboundExchange&);
    void answerReadiness(InboundExchange&);
    void answerMetrics(InboundExchange&);
    bool ready() const { return !core.draining() && core.fleetState.configVersion() > 0; }
    void tick();
    void updateWatching();
    void updateGauges();
    void waitForSignal();
    void reload();
    void drain();
    void stopIfDrained();
    void stop();

    SystemClock clock;
    EntryAdapters adapters;
    asio::io_context io { 1 };
    EntryCore core;
    Gossip gossip;
    ServerProber prober;
    SnapshotExchange snapshots;
    std::unique_ptr<StoreReader> store;
    CallerHandler callerHandler { *this };
    PeerHandler peerHandler { core, snapshots };
    FunctionHandler directoryHandler { core.listenerLimits.directory(), [this](InboundExchange& exchange) { answerDirectory(exchange); } };
    FunctionHandler readinessHandler { core.listenerLimits.operators(), [this](InboundExchange& exchange) { answerReadiness(exchange); } };
    FunctionHandler operatorHandler { core.listenerLimits.operators(), [this](InboundExchange& exchange) { answerMetrics(exchange); } };
    InboundServer callers { io, clock, callerHandler, core.memory };
    InboundServer peers { io, clock, peerHandler, core.memory };
    InboundServer directory { io, clock, directoryHandler, core.memory };
    InboundServer readiness { io, clock, readinessHandler, core.memory };
    InboundServer operators { io, clock, operatorHandler, core.memory };
    asio::steady_timer timer { io };
    asio::signal_set signals { io, SIGTERM, SIGINT, SIGHUP };
    PauseDetector pauses { pauseThreshold };
    std::uint64_t ticks = 0;
    bool watching = true;
    bool storeReachable = true;
    Instant storeLastHeard {};
};

EntryNode::State::State(EntrySettings settings, EntryAdapters entryAdapters)
    : adapters(std::move(entryAdapters))
    , core(io, clock, std::move(settings), adapters.protocol, adapters.decoder, makeSystemRandom())
    , gossip(core)
    , prober(core)
    , snapshots(core, [this] { store->pollNow(); })
    , store(adapters.makeStore(io, clock, core.settings.storeEndpoint))
{
    core.fleetState.setObserver(this);
    if (core.settings.firstStart)
        core.fleetState.onFirstStart();
}

InboundLimits EntryNode::State::CallerHandler::limits() const
{
    const auto routes = owner.core.fleetState.routes();
    return owner.core.listenerLimits.callers(routes ? routes->config().limits : InboundLimits());
}

void EntryNode::State::onChanges(const std::vector<ItemChange>& changes, const StorePosition& through)
{
    core.fleetState.setFirstEra(through.era);
    const auto before = core.fleetState.replica().revision();
    if (through.era < core.fleetState.replica().era())
        return;
    core.fleetState.apply(changes, through.revision);
    // An instance that polls learns something new only if the watchers of the region do not.
    if (core.fleetState.replica().revision() > before)
        gossip.forwardChanges(before);
}

void EntryNode::State::onListing(const std::vector<ItemChange>& items, const StorePosition& through)
{
    auto& fleetState = core.fleetState;
    fleetState.setFirstEra(through.era);
    if (through.era < fleetState.replica().era())
        return;
    logInfo("published items loaded", { { "items", items.size() }, { "era", through.era }, { "revision", through.revision } });
    if (through.era > fleetState.replica().era())
        fleetState.beginEra(through.era, items, through.revision);
    else
        fleetState.replaceAll(items, through.revision);
}

void EntryNode::State::onCurrent(const StorePosition& through)
{
    if (through.era >= core.fleetState.replica().era())
        core.fleetState.confirm(clock.now());
}

void EntryNode::State::onUnreachable(Instant since, std::string_view reason)
{
    if (!storeReachable)
        return;
    storeReachable = false;
    storeLastHeard = since;
    logWarning("store unreachable", { { "reason", reason }, { "silent_ms", toMilliseconds(clock.now() - since) }, { "revision", core.fleetState.replica().revision() } });
    core.fleetState.onStoreUnreachable(since);
}

void EntryNode::State::onReachable()
{
    if (storeReachable)
        return;
    storeReachable = true;
    logInfo("store reachable again", { { "away_ms", toMilliseconds(clock.now() - storeLastHeard) }, { "revision", core.fleetState.replica().revision() } });
    core.fleetState.onStoreReachable();
}

void EntryNode::State::onServerGone(const BackendServer& server)
{
    core.serverConnections.closeIdle(poolKeyOf(server));
}

void EntryNode::State::onServerRemoved(const BackendServer& server)
{
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
    view.self = { core.settings.region, core.settings.datacentre, core.settings.ip, ready(), !core.planner.reachesNoServer() };
    for (const auto* member : core.peerTable.alive())
        view.others.push_back({ member->region, member->datacentre, member->ip, member->takesCallers && !member->draining, !member->reachesNoServer });
    const auto routes = core.fleetState.routes();
    const auto fitness = [&](const RegionName& region) {
        return routes ? core.regionDemand.servableShare(region, routes->config()) : 1.0;
    };
    const auto named = chooseAddresses(view, { question->region, question->datacentre }, fitness, core.settings.callerEndpoint.port, *core.random);
    logInfo("directory query answered", { { "host", question->host }, { "caller_region", question->region }, { "named", boost::algorithm::join(named, ",") }, { "heard", view.others.size() }, { "config", core.fleetState.configVersion() } });
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

void EntryNode::State::answerMetrics(InboundExchange& exchange)
{
    sendText(exchange, 200, "text/plain; version=0.0.4", core.metrics.renderPrometheus());
}

void EntryNode::State::tick()
{
    const auto now = clock.now();
    core.fleetState.tick();
    snapshots.tick();
    core.streamOrigins.tick();
    store->skipTo({ core.fleetState.replica().era(), core.fleetState.replica().completeRevision() });
    if (!core.peerTable.isIsolated())
        core.retryBudget.setInstanceCount(core.peerTable.knownInstanceCount() + unseenInstanceMargin);
    if (pauses.resumedFromPause(now, clock.wallNow())) {
        logWarning("process resumed after a pause; reloading published items");
        core.fleetState.onPause();
        store->resync();
    }
    updateWatching();
    if (core.draining())
        stopIfDrained();
    if (++ticks % ticksBetweenGaugeUpdates == 0)
        updateGauges();
    timer.expires_after(tickInterval);
    timer.async_wait([this](const error_code& ec) {
        if (!ec)
            tick();
    });
}

void EntryNode::State::updateWatching()
{
    // A draining instance takes no watcher role, but still follows the published items.
    const auto& region = core.settings.region;
    std::vector<WatcherCandidate> candidates;
    for (const auto* peer : core.peerTable.alive()) {
        if (peer->region == region && !peer->draining)
            candidates.push_back({ peer->instance, peer->capacity });
    }
    if (!core.draining())
        candidates.push_back({ core.settings.instance, core.settings.capacityForPeers() });
    store->setPollInterval(pollInterval(candidates.size()));
    const bool shouldWatch = candidates.size() <= maxInstancesAllWatching || isWatcher(core.settings.instance, region, strongestCandidates(candidates));
    if (shouldWatch == watching)
        return;
    watching = shouldWatch;
    logInfo(shouldWatch ? "started watching the store for the region" : "stopped watching the store", { { "instances", candidates.size() } });
    store->setWatching(shouldWatch);
}

void EntryNode::State::updateGauges()
{
    auto& metrics = core.metrics;
    const auto counts = core.serverConnections.counts();
    metrics.gauge("yuccashift_requests_in_progress").set(static_cast<std::int64_t>(core.activeRequests.size()));
    metrics.gauge("yuccashift_caller_connections").set(static_cast<std::int64_t>(callers.connections()));
    metrics.gauge("yuccashift_server_connects").set(static_cast<std::int64_t>(counts.connects));
    metrics.gauge("yuccashift_server_connect_failures").set(static_cast<std::int64_t>(counts.connectFailures));
    metrics.gauge("yuccashift_ended_unacknowledged").set(static_cast<std::int64_t>(counts.endedUnacknowledged + core.peerConnections.counts().endedUnacknowledged));
    metrics.gauge("yuccashift_stray_answers").set(static_cast<std::int64_t>(counts.strayAnswers));
    metrics.gauge("yuccashift_store_calls").set(static_cast<std::int64_t>(store->callCount()));
    metrics.gauge("yuccashift_store_reachable").set(storeReachable ? 1 : 0);
    metrics.gauge("yuccashift_store_revision").set(core.fleetState.replica().revision());
    metrics.gauge("yuccashift_store_era").set(core.fleetState.replica().era());
    metrics.gauge("yuccashift_items_behind_milliseconds").set(std::chrono::duration_cast<milliseconds>(snapshots.behindFor()).count());
    metrics.gauge("yuccashift_config_version").set(core.fleetState.configVersion());
    metrics.gauge("yuccashift_quarantined_parts").set(static_cast<std::int64_t>(core.promptQuarantine.quarantinedCount(clock.now())));
    metrics.gauge("yuccashift_retry_slack").set(static_cast<std::int64_t>(core.retryBudget.shareOfSlack()));
    metrics.gauge("yuccashift_limited_organisations").set(static_cast<std::int64_t>(core.fleetLimits.organisations()));
    metrics.gauge("yuccashift_limit_rates_held").set(static_cast<std::int64_t>(core.fleetLimits.heldRates()));
    metrics.gauge("yuccashift_limit_parties_silent").set(static_cast<std::int64_t>(core.fleetLimits.silentParties(clock.now())));
    metrics.gauge("yuccashift_instances_heard").set(static_cast<std::int64_t>(core.peerTable.alive().size()));
    const auto memoryCounts = core.memory.counts();
    for (const auto use : { MemoryUse::Requests, MemoryUse::Answers })
        metrics.gauge("yuccashift_connection_memory_bytes", { { "use", toString(use) } }).set(static_cast<std::int64_t>(core.memory.held(use)));
    metrics.gauge("yuccashift_connection_memory_limit_bytes").set(static_cast<std::int64_t>(core.memory.limit()));
    metrics.gauge("yuccashift_connection_memory_evictions").set(static_cast<std::int64_t>(memoryCounts.evictions));
    metrics.gauge("yuccashift_connection_memory_refusals").set(static_cast<std::int64_t>(memoryCounts.refusals));
    rusage used {};
    ::getrusage(RUSAGE_SELF, &used);
    metrics.gauge("yuccashift_processor_milliseconds").set(toMillisecondCount(used.ru_utime) + toMillisecondCount(used.ru_stime));
    metrics.gauge("yuccashift_peak_memory_kilobytes").set(used.ru_maxrss);
    metrics.gauge("yuccashift_removals_waiting").set(static_cast<std::int64_t>(core.fleetState.waitingRemovals()));
    for (const auto reason : { Deferral::MassRemoval, Deferral::Outage })
        metrics.gauge("yuccashift_removals_deferred", { { "reason", toString(reason) } }).set(static_cast<std::int64_t>(core.fleetState.deferredRemovals(reason)));
    metrics.gauge("yuccashift_servers_known").set(static_cast<std::int64_t>(core.fleetState.servers().size()));
    const auto confirmed = core.fleetState.confirmedAt();
    metrics.gauge("yuccashift_list_age_milliseconds").set(confirmed ? std::chrono::duration_cast<milliseconds>(clock.now() - *confirmed).count() : -1);
    metrics.gauge("yuccashift_software_versions").set(static_cast<std::int64_t>(core.fleetState.softwareVersions().mostInOneService()));
    metrics.gauge("yuccashift_reaches_no_server").set(core.planner.reachesNoServer() ? 1 : 0);
    metrics.gauge("yuccashift_stream_origins").set(static_cast<std::int64_t>(core.streamOrigins.size()));
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
    const auto abortAfter = std::chrono::duration_cast<Duration>(core.settings.shutdownGrace * abortShareOfGrace);
    const auto held = std::chrono::duration_cast<Duration>(staleDirectoryFactor * std::min(directoryValidity, core.settings.maxDirectoryTtl));
    core.shutdown = GracefulShutdown { now, now + abortAfter, now + held };
    logInfo("graceful shutdown begins", { { "in_progress", core.activeRequests.size() } });
    gossip.sendHeartbeats();
}

void EntryNode::State::stopIfDrained()
{
    const auto grace = core.settings.shutdownGrace;
    const auto now = clock.now();
    if (now - core.shutdown->startedAt < grace * minShutdownShareOfGrace)
        return;
    // The end of the process would cut answers off that are complete and not yet written.
    const bool unwritten = callers.hasUnsentBytes() || peers.hasUnsentBytes();
    if ((unwritten || !core.activeRequests.empty()) && now < core.shutdown->endsBy)
        return;
    const bool ends = !core.activeRequests.empty();
    RequestJob::endAll(core);
    // Their answers are written in the meantime.
    if ((ends || unwritten) && now - core.shutdown->startedAt < grace * writeShareOfGrace)
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
    m_state->prober.start();
    m_state->store->start(*m_state);
    m_state->tick();
    m_state->io.run();
}

} // namespace yuccashift
