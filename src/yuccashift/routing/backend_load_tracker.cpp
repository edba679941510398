#include "yuccashift/routing/backend_load_tracker.hpp"

#include "yuccashift/routing/prefix_cache_tracker.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    /** Own work is remembered this long where no report arrives. */
    constexpr Duration memory = seconds(10);
    constexpr double smoothing = 0.1;
    constexpr std::uint32_t samplesNeeded = 5;
    constexpr double leastSlowdown = 1.5;
    constexpr double mostSlowdown = 20;
    /** A request in flight that takes this many times its usual time makes its server a slow one. */
    constexpr double overdueFactor = 2;
    /** Keeps short answers from dominating the time per token. */
    constexpr double tokenOffset = 10;

    void smooth(double& average, double value, bool first)
    {
        average = first ? value : average + smoothing * (value - average);
    }

    bool listsModel(std::span<const ModelSpec> models, const std::string& name)
    {
        return std::any_of(models.begin(), models.end(), [&](const ModelSpec& model) { return model.name == name; });
    }

    bool listsAdapter(std::span<const ModelSpec> models, const std::string& name, const std::string& adapter)
    {
        return std::any_of(models.begin(), models.end(), [&](const ModelSpec& model) {
            return model.name == name && std::find(model.adapters.begin(), model.adapters.end(), adapter) != model.adapters.end();
        });
    }

    double median(std::vector<double>& values)
    {
        if (values.empty())
            return 0;
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

    /**
     * Turns seconds per token into a factor against the median of the servers.
     * Small differences are noise of the mix of requests and count as none.
     */
    double relateToMedian(std::span<BackendState> states)
    {
        std::vector<double> known;
        for (const auto& state : states) {
            if (state.slowdown > 0)
                known.push_back(state.slowdown);
        }
        const double typical = median(known);
        for (auto& state : states) {
            const double ratio = typical > 0 ? state.slowdown / typical : 1;
            state.slowdown = ratio < leastSlowdown ? 1 : std::min(ratio, mostSlowdown);
        }
        return typical;
    }

    /** Without other knowledge, each other sender has as much in flight as this instance, evenly spread. */
    void assumeOthers(std::span<BackendState> states)
    {
        double own = 0;
        for (const auto& state : states)
            own += state.ownInFlight;
        for (auto& state : states)
            state.otherSendersInFlight = own / static_cast<double>(states.size()) * (state.senderCount - 1);
    }

} // namespace

BackendLoadTracker::BackendLoadTracker(BackendLoadTrackerSettings settings)
    : m_settings(std::move(settings))
{
}

void BackendLoadTracker::forgetBefore(Entry& entry, Instant instant)
{
    const auto forget = [&](std::deque<Ended>& events) {
        while (!events.empty() && events.front().at <= instant)
            events.pop_front();
    };
    forget(entry.starts);
    forget(entry.ends);
}

void BackendLoadTracker::onReport(const BackendKey& key, const LoadReport& report, Instant takenAt)
{
    m_entries.withShard(key, [&](auto& shard) {
        auto& entry = shard[key];
        if (entry.reportedAt && takenAt <= *entry.reportedAt)
            return;
        entry.reportedAt = takenAt;
        entry.report = report;
        forgetBefore(entry, takenAt);
    });
}

InFlightRequest BackendLoadTracker::onStart(const BackendKey& key, std::uint64_t tokens, Instant now)
{
    m_entries.withShard(key, [&](auto& shard) {
        auto& entry = shard[key];
        ++entry.inFlight;
        entry.lastStartedAt = now;
        entry.running.insert({ now, tokens });
        entry.starts.push_back({ now, tokens });
        forgetBefore(entry, now - memory);
    });
    return { key, tokens, now };
}

void BackendLoadTracker::learn(Entry& entry, const InFlightRequest& request, Instant now)
{
    const double took = std::chrono::duration<double>(now - request.startedAt).count();
    const bool first = entry.samples == 0;
    smooth(entry.secondsPerRequest, took, first);
    smooth(entry.secondsPerToken, took / (static_cast<double>(request.tokens) + tokenOffset), first);
    ++entry.samples;
}

void BackendLoadTracker::onFinish(const InFlightRequest& request, RequestOutcome outcome, Instant now)
{
    m_entries.withShard(request.backend, [&](auto& shard) {
        const auto it = shard.find(request.backend);
        if (it == shard.end())
            return;
        auto& entry = it->second;
        if (entry.inFlight > 0)
            --entry.inFlight;
        if (const auto running = entry.running.find({ request.startedAt, request.tokens }); running != entry.running.end())
            entry.running.erase(running);
        entry.ends.push_back({ now, request.tokens });
        forgetBefore(entry, now - memory);
        // A request given up would have taken longer still: it counts where that is news.
        const double usual = entry.secondsPerToken * (static_cast<double>(request.tokens) + tokenOffset);
        const bool longer = std::chrono::duration<double>(now - request.startedAt).count() > usual;
        if (outcome == RequestOutcome::Answered || (outcome == RequestOutcome::Cancelled && longer))
            learn(entry, request, now);
    });
}

void BackendLoadTracker::onLeaving(const BackendKey& key, bool leaving)
{
    m_entries.withShard(key, [&](auto& shard) { shard[key].leaving = leaving; });
}

void BackendLoadTracker::onLost(const BackendKey& key, Instant now)
{
    m_entries.withShard(key, [&](auto& shard) {
        auto& entry = shard[key];
        entry.reportedAt.reset();
        entry.samples = 0;
        entry.availableSince = now;
    });
}

void BackendLoadTracker::retain(const Document& document)
{
    m_entries.forEachShard([&](auto& shard) {
        std::erase_if(shard, [&](const auto& item) {
            if (item.first.service != document.service || item.second.inFlight > 0)
                return false;
            return std::none_of(document.backends.begin(), document.backends.end(),
                [&](const BackendSpec& backend) { return backend.name == item.first.backend; });
        });
    });
}

void BackendLoadTracker::setSenderCount(std::uint32_t senders)
{
    m_senders = std::max(1U, senders);
}

BackendState BackendLoadTracker::initialState(const Document& document, const BackendSpec& backend, const RequestTraits& request) const
{
    BackendState state;
    state.name = backend.name;
    state.region = backend.region;
    state.datacentre = backend.datacentre;
    state.role = backend.role;
    state.slots = backend.slots;
    state.senderCount = m_senders;
    state.modelLoaded = document.kind == ServiceKind::Plain || request.model.empty() || holdsModel(backend, request.model);
    state.slowdown = 0;
    if (backend.datacentre != m_settings.datacentre)
        state.roundTrip = m_settings.datacentreRoundTrip;
    return state;
}

void BackendLoadTracker::fillFrom(const Entry& entry, BackendState& state)
{
    state.leaving = entry.leaving || (entry.reportedAt && entry.report.leaving);
    state.ownInFlight = entry.inFlight;
    state.lastStartedAt = entry.lastStartedAt;
    state.reportedAt = entry.reportedAt;
    state.availableSince = entry.availableSince;
    for (const auto& start : entry.starts) {
        ++state.ownStartedSinceReport;
        state.ownTokensSinceReport += start.tokens;
    }
    state.ownFinishedSinceReport = static_cast<std::uint32_t>(entry.ends.size());
    if (entry.samples >= samplesNeeded) {
        state.slowdown = entry.secondsPerToken;
        state.meanServiceTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(entry.secondsPerRequest));
    }
    if (!entry.reportedAt)
        return;
    state.reportedRunning = entry.report.running;
    state.reportedWaiting = entry.report.waiting;
    state.reportedQueuedTokens = entry.report.queuedTokens;
    if (entry.report.prefillTokensPerSecond > 0)
        state.prefillTokensPerSecond = entry.report.prefillTokensPerSecond;
    if (entry.report.decodeTokensPerSecond > 0)
        state.decodeTokensPerSecond = entry.report.decodeTokensPerSecond;
}

/** The oldest request in flight shows a server that turned slow before any answer does. */
void BackendLoadTracker::noticeOverdue(const BackendKey& key, double typical, BackendState& state, Instant now)
{
    if (typical <= 0 || state.ownInFlight == 0)
        return;
    m_entries.withShard(key, [&](auto& shard) {
        const auto it = shard.find(key);
        if (it == shard.end() || it->second.running.empty())
            return;
        const auto& [startedAt, tokens] = *it->second.running.begin();
        const double usual = typical * (static_cast<double>(tokens) + tokenOffset);
        const double ratio = std::chrono::duration<double>(now - startedAt).count() / usual;
        if (ratio >= overdueFactor)
            state.slowdown = std::max(state.slowdown, std::min(ratio, mostSlowdown));
    });
}

std::vector<BackendState> BackendLoadTracker::states(const Document& document, const RequestTraits& request, Instant now, PrefixCacheTracker* caches)
{
    std::vector<BackendState> states;
    states.reserve(document.backends.size());
    for (const auto& backend : document.backends) {
        if (backend.region != m_settings.localRegion)
            continue;
        const BackendKey key { document.service, backend.name };
        auto state = initialState(document, backend, request);
        m_entries.withShard(key, [&](auto& shard) {
            const auto it = shard.find(key);
            if (it == shard.end())
                return;
            forgetBefore(it->second, now - memory);
            fillFrom(it->second, state);
            const auto& models = it->second.report.models;
            if (document.kind != ServiceKind::Model || models.empty() || request.model.empty())
                return;
            state.modelLoaded = listsModel(models, request.model);
            state.adapterLoaded = request.adapter.empty() || listsAdapter(models, request.model, request.adapter);
        });
        if (caches)
            state.cachedTokens = caches->cachedTokens(key, request.prefixBlocks, document.prefixCache.blockTokens, document.prefixCache.trustPercent);
        states.push_back(std::move(state));
    }
    const double typical = relateToMedian(states);
    for (auto& state : states)
        noticeOverdue({ document.service, state.name }, typical, state, now);
    assumeOthers(states);
    return states;
}

} // namespace yuccashift
