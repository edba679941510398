#include "yuccashift/routing/backend_load_tracker.hpp"

#include "yuccashift/routing/prefix_cache_tracker.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    /** Starts and ends of own requests are kept for this long if no report arrives. */
    constexpr Duration historyLifetime = seconds(10);
    constexpr double smoothingFactor = 0.1;
    constexpr std::uint32_t minSamples = 5;
    constexpr double slowdownThreshold = 1.5;
    constexpr double maxSlowdown = 20;
    /** A server counts as slow once its oldest request in flight takes this many times the expected time. */
    constexpr double overdueFactor = 2;
    /** Added to the token count, so that short answers do not dominate the time per token. */
    constexpr double tokenOffset = 10;

    void smooth(double& average, double value, bool first)
    {
        average = first ? value : average + smoothingFactor * (value - average);
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
     * Replaces the seconds per token in `slowdown` by their ratio to the median of the
     * servers and returns the median. Ratios below slowdownThreshold come from the mix
     * of requests and become 1.
     */
    double normaliseSlowdown(std::span<BackendState> states)
    {
        std::vector<double> measured;
        for (const auto& state : states) {
            if (state.slowdown > 0)
                measured.push_back(state.slowdown);
        }
        const double medianSecondsPerToken = median(measured);
        for (auto& state : states) {
            const double ratio = medianSecondsPerToken > 0 ? state.slowdown / medianSecondsPerToken : 1;
            state.slowdown = ratio < slowdownThreshold ? 1 : std::min(ratio, maxSlowdown);
        }
        return medianSecondsPerToken;
    }

    /**
     * Assumes that each other sender has as many requests in flight as this instance,
     * spread evenly over the servers.
     */
    void estimateOtherSenders(std::span<BackendState> states)
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

void BackendLoadTracker::dropEventsUntil(Entry& entry, Instant instant)
{
    const auto dropUntil = [&](std::deque<RequestEvent>& events) {
        while (!events.empty() && events.front().at <= instant)
            events.pop_front();
    };
    dropUntil(entry.starts);
    dropUntil(entry.ends);
}

void BackendLoadTracker::onReport(const BackendKey& key, const LoadReport& report, Instant takenAt)
{
    m_entries.withShard(key, [&](auto& shard) {
        auto& entry = shard[key];
        if (entry.reportedAt && takenAt <= *entry.reportedAt)
            return;
        entry.reportedAt = takenAt;
        entry.report = report;
        dropEventsUntil(entry, takenAt);
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
        dropEventsUntil(entry, now - historyLifetime);
    });
    return { key, tokens, now };
}

void BackendLoadTracker::updateServiceTimes(Entry& entry, const InFlightRequest& request, Instant now)
{
    const double elapsedSeconds = std::chrono::duration<double>(now - request.startedAt).count();
    const bool first = entry.samples == 0;
    smooth(entry.secondsPerRequest, elapsedSeconds, first);
    smooth(entry.secondsPerToken, elapsedSeconds / (static_cast<double>(request.tokens) + tokenOffset), first);
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
        dropEventsUntil(entry, now - historyLifetime);
        // A cancelled request would have taken longer still, so its time is a sample only
        // if it already exceeds the expected time.
        const double expectedSeconds = entry.secondsPerToken * (static_cast<double>(request.tokens) + tokenOffset);
        const bool exceedsExpected = std::chrono::duration<double>(now - request.startedAt).count() > expectedSeconds;
        if (outcome == RequestOutcome::Answered || (outcome == RequestOutcome::Cancelled && exceedsExpected))
            updateServiceTimes(entry, request, now);
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

void BackendLoadTracker::setSenderCount(std::uint32_t count)
{
    m_senderCount = std::max(1U, count);
}

BackendState BackendLoadTracker::initialState(const Document& document, const BackendSpec& backend, const RequestTraits& request) const
{
    BackendState state;
    state.name = backend.name;
    state.region = backend.region;
    state.datacentre = backend.datacentre;
    state.role = backend.role;
    state.slots = backend.slots;
    state.senderCount = m_senderCount;
    state.modelLoaded = document.kind == ServiceKind::Plain || request.model.empty() || holdsModel(backend, request.model);
    state.slowdown = 0;
    if (backend.datacentre != m_settings.datacentre)
        state.roundTrip = m_settings.datacentreRoundTrip;
    return state;
}

void BackendLoadTracker::applyEntry(const Entry& entry, BackendState& state)
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
    if (entry.samples >= minSamples) {
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

/**
 * Raises the slowdown of a server whose oldest request in flight is overdue, since that
 * shows that the server became slow before any answer does.
 */
void BackendLoadTracker::applyOverdueSlowdown(const BackendKey& key, double medianSecondsPerToken, BackendState& state, Instant now)
{
    if (medianSecondsPerToken <= 0 || state.ownInFlight == 0)
        return;
    m_entries.withShard(key, [&](auto& shard) {
        const auto it = shard.find(key);
        if (it == shard.end() || it->second.running.empty())
            return;
        const auto& [startedAt, tokens] = *it->second.running.begin();
        const double expectedSeconds = medianSecondsPerToken * (static_cast<double>(tokens) + tokenOffset);
        const double ratio = std::chrono::duration<double>(now - startedAt).count() / expectedSeconds;
        if (ratio >= overdueFactor)
            state.slowdown = std::max(state.slowdown, std::min(ratio, maxSlowdown));
    });
}

std::vector<BackendState> BackendLoadTracker::states(const Document& document, const RequestTraits& request, Instant now, PrefixCacheTracker* prefixCacheTracker)
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
            dropEventsUntil(it->second, now - historyLifetime);
            applyEntry(it->second, state);
            const auto& models = it->second.report.models;
            if (document.kind != ServiceKind::Model || models.empty() || request.model.empty())
                return;
            state.modelLoaded = listsModel(models, request.model);
            state.adapterLoaded = request.adapter.empty() || listsAdapter(models, request.model, request.adapter);
        });
        if (prefixCacheTracker)
            state.cachedTokens = prefixCacheTracker->cachedTokens(key, request.prefixBlocks, document.prefixCache.blockTokens, document.prefixCache.trustPercent);
        states.push_back(std::move(state));
    }
    const double medianSecondsPerToken = normaliseSlowdown(states);
    for (auto& state : states)
        applyOverdueSlowdown({ document.service, state.name }, medianSecondsPerToken, state, now);
    estimateOtherSenders(states);
    return states;
}

} // namespace yuccashift
