#include "benchmarks/runner/server_model.hpp"

#include <algorithm>
#include <utility>

namespace yuccashift::runner {
namespace {

    /** Time from the start of a poison request to the crash of its server; `restart` is the time from the crash to recovery. */
    constexpr Duration untilCrash = milliseconds(50);
    constexpr Duration restart = seconds(3);

    Duration fromSeconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

} // namespace

ServerModel::ServerModel(EventQueue& events, ServerSpec spec)
    : m_events(events)
    , m_spec(spec)
{
}

std::uint64_t ServerModel::submit(const Arrival& arrival, Callback callback)
{
    const auto attempt = ++m_lastAttempt;
    if (!m_alive) {
        callback(Reply::Unreachable);
        return attempt;
    }
    if (m_leaving || m_waiting.size() >= m_spec.waitingLimit) {
        callback(Reply::Refused);
        return attempt;
    }
    m_attempts.emplace(attempt, Attempt { &arrival, std::move(callback) });
    m_waiting.insert({ arrival.traits.priority, attempt });
    startWaiting();
    return attempt;
}

void ServerModel::startWaiting()
{
    while (m_running.size() < m_spec.slots && !m_waiting.empty()) {
        const auto attempt = m_waiting.begin()->second;
        m_waiting.erase(m_waiting.begin());
        start(attempt);
    }
}

void ServerModel::start(std::uint64_t attempt)
{
    const Arrival& arrival = *m_attempts.at(attempt).arrival;
    m_running.insert(attempt);
    const auto service = serviceTime(arrival);
    if (arrival.poison) {
        m_events.after(untilCrash, [this, attempt] {
            if (!m_running.contains(attempt))
                return;
            kill();
            m_events.after(restart, [this] { revive(); });
        });
        return;
    }
    m_events.after(service, [this, attempt] { finish(attempt); });
}

Duration ServerModel::serviceTime(const Arrival& arrival)
{
    const double occupancy = static_cast<double>(m_running.size()) / m_spec.slots;
    if (arrival.traits.promptTokens == 0)
        return std::chrono::duration_cast<Duration>(arrival.service * m_slowdown);
    const std::uint32_t cached = useCache(arrival);
    const double prefill = (arrival.traits.promptTokens - cached) / m_spec.prefillTokensPerSecond;
    const double decode = arrival.tokens / m_spec.decodeTokensPerSecond;
    m_acceleratorSeconds += prefill + decode / m_spec.slots;
    m_prefillFreeAt = std::max(m_prefillFreeAt, m_events.now()) + fromSeconds(prefill * m_slowdown);
    const Duration decoding = fromSeconds(decode * (1 + m_spec.batchPenalty * occupancy) * m_slowdown);
    return m_prefillFreeAt - m_events.now() + decoding;
}

std::uint32_t ServerModel::useCache(const Arrival& arrival)
{
    const auto& blocks = arrival.traits.prefixBlocks;
    std::size_t matched = 0;
    while (matched < blocks.size() && m_cache.contains(blocks[matched]))
        ++matched;
    // The last block is touched first, so that the shared leading blocks are the most recently used.
    for (std::size_t n = blocks.size(); n-- > 0;)
        storeBlock(blocks[n]);
    const auto cached = static_cast<std::uint32_t>(matched * m_spec.blockTokens);
    m_cachedTokens += cached;
    m_promptTokens += arrival.traits.promptTokens;
    return cached;
}

void ServerModel::storeBlock(std::uint64_t block)
{
    const auto it = m_cache.find(block);
    if (it != m_cache.end()) {
        m_cacheOrder.splice(m_cacheOrder.end(), m_cacheOrder, it->second);
        return;
    }
    if (m_cache.size() >= m_spec.cacheBlocks) {
        addEvent(false, m_cacheOrder.front());
        m_cache.erase(m_cacheOrder.front());
        m_cacheOrder.pop_front();
    }
    m_cacheOrder.push_back(block);
    m_cache.emplace(block, std::prev(m_cacheOrder.end()));
    addEvent(true, block);
}

void ServerModel::addEvent(bool stored, std::uint64_t block)
{
    m_newEvents.push_back({ ++m_sequence, stored, block });
}

void ServerModel::finish(std::uint64_t attempt)
{
    if (m_running.erase(attempt) == 0)
        return;
    auto node = m_attempts.extract(attempt);
    startWaiting();
    node.mapped().callback(Reply::Answered);
}

void ServerModel::cancel(std::uint64_t attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    m_waiting.erase({ it->second.arrival->traits.priority, attempt });
    m_running.erase(attempt);
    m_attempts.erase(it);
    startWaiting();
}

void ServerModel::kill()
{
    m_alive = false;
    m_running.clear();
    m_waiting.clear();
    m_cache.clear();
    m_cacheOrder.clear();
    for (auto& [attempt, lost] : std::exchange(m_attempts, {}))
        m_events.after(Duration::zero(), [callback = std::move(lost.callback)] { callback(Reply::Lost); });
}

void ServerModel::revive()
{
    m_alive = true;
    m_prefillFreeAt = m_events.now();
}

LoadReport ServerModel::report() const
{
    LoadReport report;
    report.running = static_cast<std::uint32_t>(m_running.size());
    report.waiting = static_cast<std::uint32_t>(m_waiting.size());
    for (const auto& [priority, attempt] : m_waiting)
        report.queuedTokens += m_attempts.at(attempt).arrival->tokens;
    report.prefillTokensPerSecond = m_spec.prefillTokensPerSecond;
    const double occupancy = static_cast<double>(m_running.size()) / m_spec.slots;
    report.decodeTokensPerSecond = m_spec.decodeTokensPerSecond / (1 + m_spec.batchPenalty * occupancy);
    report.leaving = m_leaving;
    return report;
}

std::vector<CacheEvent> ServerModel::takeEvents()
{
    return std::exchange(m_newEvents, {});
}

} // namespace yuccashift::runner
