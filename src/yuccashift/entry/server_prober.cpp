#include "yuccashift/entry/server_prober.hpp"

#include "yuccashift/kernel/log.hpp"
#include "yuccashift/kernel/one_shot_timer.hpp"

#include <algorithm>
#include <utility>

namespace yuccashift {

namespace {

    /** Interval between probes of a suspect server; a crashed server takes several seconds to restart. */
    constexpr Duration probeInterval = milliseconds(250);
    /** A healthy server of the same region answers within milliseconds, one with a full queue takes longer. */
    constexpr Duration probeTimeout = milliseconds(800);
    constexpr Duration probeConnectTimeout = milliseconds(300);
    /** Probes started at a time while connections to all servers fail. */
    constexpr std::size_t maxProbesWithoutLinks = 4;

} // namespace

/** One health request to one server. */
class ServerProber::Probe final : public OutboundListener {
public:
    Probe(ServerProber& owner, const BackendServer& server, const std::string& path)
        : m_owner(owner)
        , m_server(server)
        , m_timer(owner.m_core.io)
        , m_startedAt(owner.m_core.clock.now())
    {
        std::string headers;
        ServerRequestMetadata metadata;
        metadata.serverId = server.identity.id;
        metadata.deadline = std::chrono::duration_cast<milliseconds>(probeTimeout);
        owner.m_core.protocol.appendServerMetadata(headers, metadata);
        OutboundRequest request;
        request.endpoint = server.address;
        request.poolKey = poolKeyOf(server);
        request.connectTimeout = probeConnectTimeout;
        request.maxIdleAge = Duration::zero();
        request.bytes = "GET " + path + " HTTP/1.1\r\nHost: " + toString(server.address) + "\r\n" + headers + "\r\n";
        m_outbound = owner.m_core.serverConnections.start(std::move(request), *this);
        // Health answers name no request, so that a late copy would pass for the answer to the next one on the connection.
        m_outbound->closeAfterAnswer();
        m_timer.start(probeTimeout, [this] { finish(false, "no answer in time"); });
    }

    void onAnswerHead(const AnswerHead& head) override
    {
        m_health = m_owner.m_core.protocol.decodeHealth(head);
        m_answeredItself = m_health.serverId.empty() || m_health.serverId == m_server.identity.id;
        auto& constraints = m_owner.m_core.serverTracker.constraints();
        if (m_health.serverId != m_server.identity.id)
            return;
        // A health answer need not name a limit that holds for requests.
        auto statement = m_health.statement;
        if (!statement.requestsPerSecond)
            statement.requestsPerSecond = constraints.rateLimit(m_server.identityHash);
        if (!statement.bearableRejections)
            statement.bearableRejections = constraints.bearableRejections(m_server.identityHash);
        constraints.onAnswer(m_server.identityHash, statement);
    }
    void onAnswerBody(std::string_view) override { }
    void onAnswerEnd() override
    {
        finish(m_health.healthy && m_answeredItself, m_answeredItself ? "its health answer" : "another server has the address");
    }
    void onAnswerFailure(OutboundFailure, std::string_view reason) override { finish(false, reason); }

    void stop()
    {
        m_timer.cancel();
        m_outbound.reset();
    }

private:
    void finish(bool healthy, std::string_view reason)
    {
        auto& core = m_owner.m_core;
        const bool suspect = core.serverTracker.statusOf(m_server.identityHash).suspect;
        if (healthy != !suspect || !healthy)
            logInfo("server probed", { { "server", m_server.identity.id }, { "healthy", healthy ? 1 : 0 }, { "was_suspect", suspect ? 1 : 0 }, { "reason", reason } });
        if (healthy) {
            if (m_health.coldFor > Duration::zero())
                core.fleetState.setCold(m_server.identity.id, core.clock.now() + m_health.coldFor);
            if (suspect)
                core.serverTracker.clearSuspect(m_server.identityHash);
        } else {
            core.serverTracker.markSuspect(m_server.identityHash);
            core.serverConnections.closeIdle(poolKeyOf(m_server));
        }
        // An answer shows that the process runs, also if it says that the server is not healthy.
        if (m_answeredItself)
            core.crashConfirmation.onAnswer(m_server.identityHash, m_startedAt);
        else
            m_owner.countCrashes(core.crashConfirmation.takeUnanswered(m_server.identityHash, m_startedAt));
        m_owner.onProbeEnded(m_server.identityHash);
    }

    ServerProber& m_owner;
    BackendServer m_server;
    OneShotTimer m_timer;
    Instant m_startedAt;
    HealthStatus m_health;
    /** Whether an answer has arrived, and it is not of another server at the address. */
    bool m_answeredItself = false;
    std::unique_ptr<OutboundExchange> m_outbound;
};

ServerProber::ServerProber(EntryCore& core)
    : m_core(core)
    , m_timer(core.io)
{
    core.requestProbe = [this](std::uint64_t server) { probe(server); };
}

ServerProber::~ServerProber() = default;

void ServerProber::start()
{
    tick();
}

void ServerProber::probe(std::uint64_t server)
{
    if (m_running.contains(server))
        return;
    const auto routes = m_core.fleetState.routes();
    for (const auto& [key, it] : m_core.fleetState.servers()) {
        if (it.identityHash != server || !m_core.planner.isUsableLocally(it) || !routes)
            continue;
        m_core.serverTracker.recordProbe(server);
        m_running[server] = std::make_unique<Probe>(*this, it, routes->config().serviceConfig(it.service).healthPath);
        return;
    }
}

void ServerProber::onProbeEnded(std::uint64_t server)
{
    const auto it = m_running.find(server);
    if (it == m_running.end())
        return;
    // This runs inside a callback of the probe, so the probe is destroyed later by the event loop.
    std::shared_ptr<Probe> probe = std::move(it->second);
    probe->stop();
    m_running.erase(it);
    boost::asio::post(m_core.io, [probe] {});
}

void ServerProber::countCrashes(std::span<const LostRequest> requests)
{
    for (const auto& it : requests) {
        logInfo("request counted as lost with a server that crashed", { { "server", it.server }, { "request", it.request }, { "parts", it.parts.size() } });
        m_core.promptQuarantine.onServerLost(static_cast<std::uint32_t>(it.server), it.parts, it.sentAt, it.lostAt, it.request);
    }
}

std::vector<std::uint64_t> ServerProber::dueServers() const
{
    const auto now = m_core.clock.now();
    std::vector<std::uint64_t> due;
    for (const auto& [key, server] : m_core.fleetState.servers()) {
        const auto& known = m_core.serverTracker.statusOf(server.identityHash);
        if (known.suspect && now - known.lastProbe >= probeInterval)
            due.push_back(server.identityHash);
    }
    // One answer shows that the links are back, after which all are probed.
    if (!m_core.planner.reachesNoServer())
        return due;
    for (std::size_t i = 0; i < std::min(due.size(), maxProbesWithoutLinks); ++i)
        std::swap(due[i], due[i + m_core.random->uniformBelow(due.size() - i)]);
    due.resize(std::min(due.size(), maxProbesWithoutLinks));
    return due;
}

void ServerProber::tick()
{
    countCrashes(m_core.crashConfirmation.takeOverdue(m_core.clock.now()));
    for (const auto server : dueServers())
        probe(server);
    m_timer.expires_after(probeInterval);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            tick();
    });
}

} // namespace yuccashift
