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

    constexpr milliseconds shortestPollInterval { 500 };
    constexpr milliseconds longestPollInterval { 3000 };
    /** Keeps the bytes of reports in bounds when many servers are watched. */
    constexpr milliseconds pollIntervalPerServer { 100 };

} // namespace

milliseconds loadPollInterval(std::size_t watchedServers)
{
    return std::clamp(pollIntervalPerServer * static_cast<std::int64_t>(watchedServers), shortestPollInterval, longestPollInterval);
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

const std::vector<LoadReportLoop::Watched>& LoadReportLoop::watched()
{
    // Choosing costs backend servers times instances of the region, so the
    // choice is kept until a document or the membership changes.
    auto candidates = ownerCandidates(m_context);
    const auto generation = m_context.components.documents.snapshot()->generation;
    if (generation != m_chosenGeneration || candidates != m_candidates) {
        m_chosenGeneration = generation;
        m_candidates = std::move(candidates);
        m_watched = choose();
    }
    return m_watched;
}

std::vector<LoadReportLoop::Watched> LoadReportLoop::choose() const
{
    const auto& region = m_context.components.settings.region;
    std::vector<Watched> watched;
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
        const auto& backends = watched();
        for (const auto& it : backends) {
            // A poll that hangs is not doubled; its own timeout ends it.
            if (m_polling.insert(it.key.service + "/" + it.key.backend).second)
                asio::co_spawn(executor, poll(it), asio::detached);
        }
        co_await sleepFor(loadPollInterval(backends.size()));
    }
}

asio::awaitable<void> LoadReportLoop::poll(Watched backend)
{
    auto& parts = m_context.components;
    const auto begun = parts.clock.now();
    const auto report = co_await m_control.load(backend.address);
    if (report) {
        parts.loadTracker.onReport(backend.key, *report, begun);
        m_context.feeds.onOwnReport(backend.key, *report, begun);
        m_views[backend.key] = { *report, begun };
    }
    if (report && backend.hasCache) {
        const auto events = co_await m_control.cacheEvents(backend.address, parts.prefixCacheTracker.lastSequence(backend.key));
        if (events)
            parts.prefixCacheTracker.onEvents(backend.key, *events);
    }
    m_polling.erase(backend.key.service + "/" + backend.key.backend);
}

std::optional<EngineView> LoadReportLoop::lastReportOf(const BackendKey& key) const
{
    const auto it = m_views.find(key);
    return it == m_views.end() ? std::nullopt : std::optional(it->second);
}

} // namespace yuccashift
