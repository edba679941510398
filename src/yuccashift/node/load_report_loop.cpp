#include "yuccashift/node/load_report_loop.hpp"

#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/gateway/heartbeat_exchange.hpp"
#include "yuccashift/kernel/detail/await.hpp"
#include "yuccashift/membership/coordinator.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr milliseconds minPollInterval { 500 };
    constexpr milliseconds maxPollInterval { 3000 };
    /** Limits the bandwidth of reports when an instance watches many servers. */
    constexpr milliseconds pollIntervalPerServer { 100 };

} // namespace

milliseconds loadPollInterval(std::size_t watchedServers)
{
    return std::clamp(pollIntervalPerServer * static_cast<std::int64_t>(watchedServers), minPollInterval, maxPollInterval);
}

LoadReportLoop::LoadReportLoop(LoopContext context, EngineControl& control)
    : m_context(context)
    , m_control(control)
{
}

std::vector<OwnerCandidate> ownerCandidates(const LoopContext& context)
{
    std::vector<OwnerCandidate> candidates;
    for (const auto& instance : context.coordinator.view()->liveInRegion)
        candidates.push_back({ instance, context.components.settings.region });
    return candidates;
}

const std::vector<LoadReportLoop::WatchedServer>& LoadReportLoop::watchedServers()
{
    // The selection takes time proportional to the region's backend servers times
    // its instances, so it is cached until a document or the membership changes.
    auto candidates = ownerCandidates(m_context);
    const auto generation = m_context.components.documents.snapshot()->generation;
    if (generation != m_selectionGeneration || candidates != m_candidates) {
        m_selectionGeneration = generation;
        m_candidates = std::move(candidates);
        m_watchedServers = selectWatchedServers();
    }
    return m_watchedServers;
}

std::vector<LoadReportLoop::WatchedServer> LoadReportLoop::selectWatchedServers() const
{
    const auto& region = m_context.components.settings.region;
    std::vector<WatchedServer> watched;
    for (const auto& document : m_context.components.documents.activeDocuments()) {
        for (const auto& backend : document->backends) {
            if (backend.region != region)
                continue;
            if (ownerOf({ document->service, backend.name, region }, m_candidates) == m_context.components.self.instance)
                watched.push_back({ { document->service, backend.name }, backend.address, document->kind == ServiceKind::Model });
        }
    }
    return watched;
}

asio::awaitable<void> LoadReportLoop::run()
{
    const auto executor = co_await asio::this_coro::executor;
    for (;;) {
        const auto& servers = watchedServers();
        for (const auto& server : servers) {
            // Starts no second poll of a server while one is in progress; the timeout of the call ends a poll that hangs.
            if (m_activePolls.insert(server.key.service + "/" + server.key.backend).second)
                asio::co_spawn(executor, poll(server), asio::detached);
        }
        co_await sleepFor(loadPollInterval(servers.size()));
    }
}

asio::awaitable<void> LoadReportLoop::poll(WatchedServer backend)
{
    auto& components = m_context.components;
    const auto startedAt = components.clock.now();
    const auto report = co_await m_control.load(backend.address);
    if (report) {
        components.loadTracker.onReport(backend.key, *report, startedAt);
        m_context.heartbeatExchange.onOwnReport(backend.key, *report, startedAt);
        m_lastReports[backend.key] = { *report, startedAt };
    }
    if (report && backend.hasCache) {
        const auto events = co_await m_control.cacheEvents(backend.address, components.prefixCacheTracker.lastSequence(backend.key));
        if (events)
            components.prefixCacheTracker.onEvents(backend.key, *events);
    }
    m_activePolls.erase(backend.key.service + "/" + backend.key.backend);
}

std::optional<EngineView> LoadReportLoop::lastReportOf(const BackendKey& key) const
{
    const auto it = m_lastReports.find(key);
    return it == m_lastReports.end() ? std::nullopt : std::optional(it->second);
}

} // namespace yuccashift
