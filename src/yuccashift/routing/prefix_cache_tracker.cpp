#include "yuccashift/routing/prefix_cache_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift {
namespace {

    /** Factor by which the counts of received and missed events decay with each new event. */
    constexpr double decay = 0.995;

} // namespace

PrefixCacheTracker::PrefixCacheTracker(std::size_t blockLimitPerBackend, std::size_t totalBlockLimit)
    : m_blockLimitPerBackend(blockLimitPerBackend)
    , m_totalBlockLimit(totalBlockLimit)
{
}

std::size_t PrefixCacheTracker::currentBlockLimit() const
{
    const std::size_t evenShare = m_totalBlockLimit / std::max<std::size_t>(1, m_backendCount);
    return std::clamp<std::size_t>(evenShare, 1, m_blockLimitPerBackend);
}

void PrefixCacheTracker::trim(BackendCache& cache, std::size_t limit)
{
    while (cache.blocks.size() > limit)
        erase(cache, cache.order.front());
}

// A new backend server lowers the block limit of the others. Those of its shard are
// trimmed immediately, because an unused one would otherwise never be trimmed.
PrefixCacheTracker::BackendCache& PrefixCacheTracker::backendCache(BackendCaches::Shard& shard, const BackendKey& key)
{
    const auto [it, isNew] = shard.try_emplace(key);
    if (isNew) {
        ++m_backendCount;
        const auto limit = currentBlockLimit();
        for (auto& [other, cache] : shard)
            trim(cache, limit);
    }
    return it->second;
}

void PrefixCacheTracker::touch(BackendCache& cache, std::uint64_t block) const
{
    const auto it = cache.blocks.find(block);
    if (it != cache.blocks.end()) {
        cache.order.splice(cache.order.end(), cache.order, it->second);
        return;
    }
    trim(cache, currentBlockLimit() - 1);
    cache.order.push_back(block);
    cache.blocks.emplace(block, std::prev(cache.order.end()));
}

void PrefixCacheTracker::erase(BackendCache& cache, std::uint64_t block)
{
    const auto it = cache.blocks.find(block);
    if (it == cache.blocks.end())
        return;
    cache.order.erase(it->second);
    cache.blocks.erase(it);
}

void PrefixCacheTracker::recordSequence(BackendCache& cache, std::uint64_t sequence)
{
    const std::uint64_t skipped = cache.sequence == 0 ? 0 : sequence - cache.sequence - 1;
    cache.received = cache.received * decay + 1;
    cache.missed = cache.missed * decay + static_cast<double>(skipped);
    cache.sequence = sequence;
}

double PrefixCacheTracker::completeness(const BackendCache& cache)
{
    const double total = cache.received + cache.missed;
    return total == 0 ? 1 : cache.received / total;
}

void PrefixCacheTracker::onEvents(const BackendKey& key, std::span<const CacheEvent> events)
{
    m_backends.withShard(key, [&](auto& shard) {
        auto& cache = backendCache(shard, key);
        for (const auto& event : events) {
            if (event.sequence <= cache.sequence)
                continue;
            recordSequence(cache, event.sequence);
            if (event.stored)
                touch(cache, event.blockHash);
            else
                erase(cache, event.blockHash);
        }
    });
}

void PrefixCacheTracker::onSent(const BackendKey& key, std::span<const std::uint64_t> blocks)
{
    m_backends.withShard(key, [&](auto& shard) {
        auto& cache = backendCache(shard, key);
        for (const auto block : blocks)
            touch(cache, block);
    });
}

void PrefixCacheTracker::onLost(const BackendKey& key)
{
    m_backends.withShard(key, [&](auto& shard) { m_backendCount -= shard.erase(key); });
}

std::uint32_t PrefixCacheTracker::cachedTokens(const BackendKey& key, std::span<const std::uint64_t> blocks, std::uint32_t blockTokens, double trustPercent)
{
    constexpr double percent = 100;
    return m_backends.withShard(key, [&](auto& shard) -> std::uint32_t {
        const auto it = shard.find(key);
        if (it == shard.end())
            return 0;
        // Hashes are chained, so a stored block implies all blocks before it, even if
        // their events were lost. The last block that is found ends the cached prefix.
        std::size_t matched = blocks.size();
        while (matched > 0 && !it->second.blocks.contains(blocks[matched - 1]))
            --matched;
        const double tokens = static_cast<double>(matched) * blockTokens;
        return static_cast<std::uint32_t>(tokens * completeness(it->second) * trustPercent / percent);
    });
}

double PrefixCacheTracker::eventCompleteness(const BackendKey& key)
{
    return m_backends.withShard(key, [&](auto& shard) {
        const auto it = shard.find(key);
        return it == shard.end() ? 1.0 : completeness(it->second);
    });
}

std::uint64_t PrefixCacheTracker::lastSequence(const BackendKey& key)
{
    return m_backends.withShard(key, [&](auto& shard) {
        const auto it = shard.find(key);
        return it == shard.end() ? std::uint64_t(0) : it->second.sequence;
    });
}

std::size_t PrefixCacheTracker::size()
{
    std::size_t sum = 0;
    m_backends.forEachShard([&](auto& shard) {
        for (const auto& [key, cache] : shard)
            sum += cache.blocks.size();
    });
    return sum;
}

} // namespace yuccashift
