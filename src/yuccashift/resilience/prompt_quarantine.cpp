#include "yuccashift/resilience/prompt_quarantine.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/kernel/random.hpp"

#include <algorithm>
#include <iterator>
#include <optional>
#include <tuple>
#include <utility>

namespace yuccashift {

namespace {

    /** The quarantined parts are determined at most this often. */
    constexpr Duration updateInterval = milliseconds(200);
    /** Times that other instances report are later by the way of their heartbeats. */
    constexpr Duration clockTolerance = milliseconds(20);
    /** Losses of one server this close together have one cause. */
    constexpr Duration sameCauseWindow = seconds(2);

    /** Limit on the blocks of a prompt that are considered; their hashes are chained, so that later ones name the same requests. */
    constexpr std::size_t maxPartsOfBlocks = 16;

} // namespace

PartHash hashOfPart(std::uint64_t id)
{
    const auto hash = static_cast<PartHash>(mix64(id));
    return hash == 0 ? 1 : hash;
}

std::vector<PartHash> partsOfBlocks(std::span<const std::uint64_t> blocks)
{
    std::vector<PartHash> parts;
    for (const auto block : blocks.first(blocks.empty() ? 0 : std::min(blocks.size() - 1, maxPartsOfBlocks)))
        parts.push_back(hashOfPart(block));
    return parts;
}

/** What counts against one part. */
struct PromptQuarantine::Suspect {
    std::vector<const Loss*> losses;
    /** Place of the part in its prompts; a whole request comes after its parts. */
    std::size_t position = 0;
    bool isWholeRequest = false;

    std::size_t servers() const
    {
        std::set<std::uint32_t> distinct;
        for (const auto* it : losses)
            distinct.insert(it->server);
        return distinct.size();
    }

    /**
     * When this many losses had followed one another within `window`, each of a request that was sent after the loss before
     * it; std::nullopt if they have not. Requests that are in progress at the same time may be lost for the same other cause.
     */
    std::optional<Instant> lostInSuccession(std::size_t count, Duration window) const
    {
        auto byTime = losses;
        std::ranges::sort(byTime, {}, &Loss::lostAt);
        std::vector<Instant> times;
        for (const auto* it : byTime) {
            if (!times.empty() && it->sentAt < times.back() - clockTolerance)
                continue;
            times.push_back(it->lostAt);
            if (isRun(times, count, window))
                return times.back();
        }
        return {};
    }

    /** When this many servers had been lost within `window`, whichever instances saw it; std::nullopt if there were fewer. */
    std::optional<Instant> lostServers(std::size_t count, Duration window) const
    {
        auto byTime = losses;
        std::ranges::sort(byTime, {}, &Loss::lostAt);
        std::map<std::uint32_t, Instant> lastOf;
        std::vector<Instant> times;
        for (const auto* it : byTime) {
            const auto [last, added] = lastOf.try_emplace(it->server, it->lostAt);
            if (!added && it->lostAt - std::exchange(last->second, it->lostAt) < sameCauseWindow)
                continue;
            times.push_back(it->lostAt);
            if (isRun(times, count, window))
                return times.back();
        }
        return {};
    }

    static bool isRun(std::span<const Instant> times, std::size_t count, Duration window)
    {
        return times.size() >= count && times.back() - times[times.size() - count] < window;
    }

    Instant lastLoss() const { return (*std::ranges::max_element(losses, {}, &Loss::lostAt))->lostAt; }

    /** When the losses had become enough for a quarantine; std::nullopt if they are too few. */
    std::optional<Instant> suspiciousSince(std::size_t threshold, Duration window) const { return isWholeRequest ? lostServers(threshold, window) : lostInSuccession(threshold, window); }
};

bool PromptQuarantine::Loss::holds(PartHash hash) const
{
    return (request != 0 && request == hash) || std::ranges::find(parts, hash) != parts.end();
}

bool PromptQuarantine::Loss::holdsAny(const std::set<PartHash>& hashes) const
{
    return std::ranges::any_of(hashes, [this](PartHash hash) { return holds(hash); });
}

ProbeOrder::~ProbeOrder() = default;

PromptQuarantine::PromptQuarantine(PromptQuarantineLimits limits)
    : m_limits(limits)
    , m_salt(makeSystemRandom()->next())
{
}

void PromptQuarantine::onServerLost(std::uint32_t server, std::span<const PartHash> parts, Instant sentAt, Instant lostAt, PartHash request)
{
    const std::lock_guard lock(m_mutex);
    // Further copies of a request that are lost with the same server say nothing new.
    const auto copy = std::ranges::find_if(m_losses, [&](const Loss& it) { return request != 0 && it.request == request && it.server == server && std::chrono::abs(it.lostAt - lostAt) < sameCauseWindow; });
    if (copy != m_losses.end()) {
        if (sentAt <= copy->lostAt)
            copy->sentAt = std::max(copy->sentAt, sentAt);
        return;
    }
    Loss loss;
    loss.server = server;
    loss.sentAt = sentAt;
    loss.lostAt = lostAt;
    loss.sendsLeft = m_limits.timesSent;
    loss.request = request;
    loss.knownAt = lostAt;
    loss.toldAt = lostAt;
    std::ranges::copy_if(parts, std::back_inserter(loss.parts), [&](PartHash part) { return !servedSince(part, lostAt - m_limits.recentSuccess); });
    if (loss.parts.empty() && request == 0)
        return;
    loss.id = static_cast<std::uint32_t>(mix64(m_salt ^ ++m_lossCount));
    addLoss(std::move(loss));
}

void PromptQuarantine::addLoss(Loss loss)
{
    const bool known = std::ranges::any_of(m_losses, [&](const Loss& it) { return it.id == loss.id; });
    if (known)
        return;
    if (m_losses.size() >= m_limits.maxLosses) {
        // The losses that quarantine a part stay, so that a wave of others does not release it.
        const auto spare = std::ranges::find_if(m_losses, [&](const Loss& it) { return !it.holdsAny(m_quarantined); });
        m_losses.erase(spare == m_losses.end() ? m_losses.begin() : spare);
    }
    m_losses.push_back(std::move(loss));
}

void PromptQuarantine::onSuccess(std::span<const PartHash> parts, Instant now)
{
    const std::lock_guard lock(m_mutex);
    for (const auto part : parts)
        addSuccess(part, now, isSuspect(part) ? m_limits.timesSent : 0);
}

void PromptQuarantine::onRequestServed(PartHash request, Instant now)
{
    const std::lock_guard lock(m_mutex);
    if (isSuspect(request))
        addSuccess(request, now, m_limits.timesSent);
}

bool PromptQuarantine::empty() const
{
    const std::lock_guard lock(m_mutex);
    return m_losses.empty();
}

void PromptQuarantine::addSuccess(PartHash part, Instant at, std::uint32_t sendsLeft)
{
    if (m_successes.size() >= m_limits.maxSuccesses && !m_successes.contains(part)) {
        const auto held = heldParts();
        const auto eraseBefore = [&](Instant time) { std::erase_if(m_successes, [&](const auto& entry) { return entry.second.at < time && !held.contains(entry.first); }); };
        eraseBefore(at - m_limits.recentSuccess);
        if (m_successes.size() >= m_limits.maxSuccesses)
            eraseBefore(Instant::max());
    }
    auto& success = m_successes[part];
    success.at = std::max(success.at, at);
    success.sendsLeft = std::max(success.sendsLeft, sendsLeft);
}

bool PromptQuarantine::isSuspect(PartHash part) const
{
    return std::ranges::any_of(m_losses, [&](const Loss& it) { return it.holds(part) && !servedSince(part, it.lostAt); });
}

bool PromptQuarantine::servedSince(PartHash part, Instant since) const
{
    const auto it = m_successes.find(part);
    return it != m_successes.end() && it->second.at >= since;
}

PartHash PromptQuarantine::findQuarantined(std::span<const PartHash> hashes, Instant now, const ProbeOrder* order)
{
    const std::lock_guard lock(m_mutex);
    if (m_losses.empty())
        return 0;
    updateQuarantined(now);
    const auto refused = std::ranges::find_if(hashes, [&](PartHash hash) { return m_quarantined.contains(hash) && !mayProbe(hash, now, order); });
    if (refused != hashes.end())
        return *refused;
    for (const auto hash : hashes) {
        if (!m_quarantined.contains(hash))
            continue;
        m_probedAt[hash] = now;
        logInfo("letting one request with a quarantined part through", { { "part", hash } });
    }
    return 0;
}

bool PromptQuarantine::anyQuarantined(std::span<const PartHash> hashes, Instant now)
{
    const std::lock_guard lock(m_mutex);
    if (m_losses.empty())
        return false;
    updateQuarantined(now);
    return std::ranges::any_of(hashes, [&](PartHash hash) { return m_quarantined.contains(hash); });
}

bool PromptQuarantine::mayProbe(PartHash hash, Instant now, const ProbeOrder* order) const
{
    std::vector<Instant> times;
    for (const auto& loss : m_losses) {
        if (loss.holds(hash) && !servedSince(hash, loss.lostAt))
            times.push_back(loss.lostAt);
    }
    std::ranges::sort(times);
    // A loss long after the one before it is that of a request that was let through.
    auto interval = m_limits.firstProbeInterval;
    for (std::size_t n = 1; n < times.size(); ++n) {
        if (times[n] - times[n - 1] >= m_limits.firstProbeInterval)
            interval = std::min(m_limits.maxProbeInterval, interval * m_limits.probeIntervalGrowth);
    }
    auto from = times.empty() ? Instant {} : times.back();
    if (const auto it = m_probedAt.find(hash); it != m_probedAt.end())
        from = std::max(from, it->second);
    const auto due = from + interval;
    return now >= due && (!order || now >= due + m_limits.probeStagger * static_cast<std::int64_t>(order->rankFor(hash)));
}

std::size_t PromptQuarantine::quarantinedCount(Instant now)
{
    const std::lock_guard lock(m_mutex);
    updateQuarantined(now);
    return m_quarantined.size();
}

std::set<PartHash> PromptQuarantine::heldParts() const
{
    std::set<PartHash> held;
    for (const auto& loss : m_losses) {
        held.insert(loss.parts.begin(), loss.parts.end());
        held.insert(loss.request);
    }
    return held;
}

void PromptQuarantine::expire(Instant now)
{
    const auto oldest = now - m_limits.expiry;
    std::erase_if(m_losses, [&](const Loss& it) { return it.knownAt < oldest && !it.holdsAny(m_quarantined); });
    const auto held = heldParts();
    // A loss counts against a part only if it was not served since, whenever that was.
    std::erase_if(m_successes, [&](const auto& entry) { return entry.second.at < oldest && !held.contains(entry.first); });
    std::erase_if(m_probedAt, [&](const auto& entry) { return !m_quarantined.contains(entry.first); });
}

void PromptQuarantine::markExplained(PartHash part, std::set<const Loss*>& explained) const
{
    std::multimap<std::uint32_t, Instant> crashes;
    for (const auto& loss : m_losses) {
        if (loss.holds(part))
            crashes.emplace(loss.server, loss.lostAt);
    }
    for (const auto& loss : m_losses) {
        const auto [begin, end] = crashes.equal_range(loss.server);
        if (std::any_of(begin, end, [&](const auto& crash) { return std::chrono::abs(crash.second - loss.lostAt) < sameCauseWindow; }))
            explained.insert(&loss);
    }
}

PromptQuarantine::Suspects PromptQuarantine::collectSuspects(const std::set<const Loss*>& explained) const
{
    Suspects suspects;
    for (const auto& loss : m_losses) {
        if (explained.contains(&loss))
            continue;
        for (std::size_t n = 0; n < loss.parts.size(); ++n) {
            if (servedSince(loss.parts[n], loss.lostAt))
                continue;
            auto& suspect = suspects[loss.parts[n]];
            suspect.losses.push_back(&loss);
            suspect.position = std::max(suspect.position, n);
        }
        if (loss.request == 0 || servedSince(loss.request, loss.lostAt))
            continue;
        auto& suspect = suspects[loss.request];
        suspect.losses.push_back(&loss);
        suspect.position = std::max(suspect.position, loss.parts.size());
        suspect.isWholeRequest = true;
    }
    return suspects;
}

void PromptQuarantine::updateQuarantined(Instant now)
{
    if (now - m_updatedAt < updateInterval)
        return;
    m_updatedAt = now;
    std::set<PartHash> found;
    std::set<const Loss*> explained;
    for (;;) {
        const auto suspects = collectSuspects(explained);
        // A part that was served before is less likely than one that never was. Of two that explain as many losses, the
        // one in fewer requests is the cause: the other one is also in sound requests that were lost with their server.
        // Prompts begin alike, so that of parts in the same requests the last one concerns the fewest others.
        using Rank = std::tuple<bool, std::size_t, std::ptrdiff_t, std::size_t>;
        std::optional<std::pair<Rank, PartHash>> best;
        for (const auto& [part, suspect] : suspects) {
            const auto since = suspect.suspiciousSince(m_limits.lossThreshold, m_limits.expiry);
            if (!since || now - *since < m_limits.settleTime || now - suspect.lastLoss() >= m_limits.quarantineExpiry)
                continue;
            const Rank rank { !m_successes.contains(part), suspect.servers(), -std::ssize(suspect.losses), suspect.position };
            if (!best || rank > best->first)
                best = { rank, part };
        }
        if (!best)
            break;
        found.insert(best->second);
        markExplained(best->second, explained);
    }
    for (const auto part : found) {
        if (!m_quarantined.contains(part))
            logWarning("part of prompts or request quarantined: servers crash under it", { { "part", part }, { "losses", m_losses.size() } });
    }
    for (const auto part : m_quarantined) {
        if (!found.contains(part))
            logInfo("part of prompts or request released from quarantine", { { "part", part } });
    }
    m_quarantined = std::move(found);
    expire(now);
}

void PromptQuarantine::retell(Loss& loss)
{
    loss.sendsLeft = 1;
    // Without what proves the other parts sound, one of them might be blamed.
    for (const auto part : loss.parts) {
        if (const auto it = m_successes.find(part); it != m_successes.end())
            it->second.sendsLeft = std::max(it->second.sendsLeft, 1u);
    }
}

PromptEvidence PromptQuarantine::takeForHeartbeat(Instant now, std::size_t limit)
{
    const std::lock_guard lock(m_mutex);
    PromptEvidence evidence;
    std::vector<Loss*> pending;
    for (auto& it : m_losses) {
        if (it.sendsLeft == 0 && now - it.toldAt >= m_limits.retellInterval && it.holdsAny(m_quarantined))
            retell(it);
        if (it.sendsLeft > 0)
            pending.push_back(&it);
    }
    std::ranges::stable_sort(pending, std::greater<> {}, [](const Loss* it) { return it->sendsLeft; });
    for (auto* it : std::span(pending).first(std::min(limit, pending.size()))) {
        --it->sendsLeft;
        it->toldAt = now;
        evidence.losses.push_back({ it->id, it->server, it->parts, now - it->sentAt, now - it->lostAt, it->request });
    }
    for (auto& [part, success] : m_successes) {
        if (success.sendsLeft == 0 || evidence.successes.size() == limit)
            continue;
        --success.sendsLeft;
        evidence.successes.push_back({ part, now - success.at });
    }
    return evidence;
}

PromptEvidence PromptQuarantine::newest(Instant now, std::size_t limit) const
{
    const std::lock_guard lock(m_mutex);
    PromptEvidence evidence;
    for (auto it = m_losses.rbegin(); it != m_losses.rend() && evidence.losses.size() < limit; ++it) {
        // Others would keep the rest for as long again, and send it back.
        if (now - it->lostAt < m_limits.expiry || it->holdsAny(m_quarantined))
            evidence.losses.push_back({ it->id, it->server, it->parts, now - it->sentAt, now - it->lostAt, it->request });
    }
    for (const auto& [part, success] : m_successes) {
        const bool asked = std::ranges::any_of(m_losses, [&part = part](const Loss& it) { return it.holds(part); });
        if (asked && evidence.successes.size() < limit)
            evidence.successes.push_back({ part, now - success.at });
    }
    return evidence;
}

void PromptQuarantine::merge(const PromptEvidence& evidence, Instant now, bool sendInRegion)
{
    const std::lock_guard lock(m_mutex);
    const auto sendsLeft = sendInRegion ? m_limits.timesSent : 0;
    for (const auto& it : evidence.losses) {
        const bool valid = it.lostAgo >= Duration::zero() && it.lostAgo < m_limits.quarantineExpiry && it.sentAgo >= it.lostAgo;
        if (valid)
            addLoss({ it.id, it.server, it.parts, now - it.sentAgo, now - it.lostAgo, sendsLeft, it.request, now, now });
    }
    for (const auto& it : evidence.successes) {
        const bool newer = !servedSince(it.part, now - it.ago);
        if (newer && it.ago >= Duration::zero() && it.ago < m_limits.quarantineExpiry)
            addSuccess(it.part, now - it.ago, sendsLeft);
    }
}

} // namespace yuccashift
