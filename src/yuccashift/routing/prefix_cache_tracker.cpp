#include "yuccashift/routing/prefix_cache_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift {
namespace {

    /** Weight that the count of events keeps with each further one. */
    constexpr double decay = 0.995;

} // namespace

PrefixCacheTracker::PrefixCacheTracker(std::size_t blocksPerBackend, std::size_t blocksInAll)
    : m_blocksPerBackend(blocksPerBackend)
    , m_blocksInAll(blocksInAll)
{
}

std::size_t PrefixCacheTracker::blocksAllowed() const
{
    const std::size_t even = m_blocksInAll / std::max<std::size_t>(1, m_viewCount);
    return std::clamp<std::size_t>(even, 1, m_blocksPerBackend);
}

void PrefixCacheTracker::trim(View& view, std::size_t most)
{
    while (view.blocks.size() > most)
        erase(view, view.order.front());
}

// Another backend server leaves less room for each: the shard's others are
// trimmed at once, since one that is no longer used would never be touched.
PrefixCacheTracker::View& PrefixCacheTracker::viewOf(Views::Shard& shard, const BackendKey& key)
{
    const auto [it, isNew] = shard.try_emplace(key);
    if (isNew) {
        ++m_viewCount;
        const auto most = blocksAllowed();
        for (auto& [other, view] : shard)
            trim(view, most);
    }
    return it->second;
}

void PrefixCacheTracker::touch(View& view, std::uint64_t block) const
{
    const auto it = view.blocks.find(block);
    if (it != view.blocks.end()) {
        view.order.splice(view.order.end(), view.order, it->second);
        return;
    }
    trim(view, blocksAllowed() - 1);
    view.order.push_back(block);
    view.blocks.emplace(block, std::prev(view.order.end()));
}

void PrefixCacheTracker::erase(View& view, std::uint64_t block)
{
    const auto it = view.blocks.find(block);
    if (it == view.blocks.end())
        return;
    view.order.erase(it->second);
    view.blocks.erase(it);
}

void PrefixCacheTracker::countArrival(View& view, std::uint64_t sequence)
{
    const std::uint64_t skipped = view.sequence == 0 ? 0 : sequence - view.sequence - 1;
    view.received = view.received * decay + 1;
    view.missed = view.missed * decay + static_cast<double>(skipped);
    view.sequence = sequence;
}

double PrefixCacheTracker::completeness(const View& view)
{
    const double total = view.received + view.missed;
    return total == 0 ? 1 : view.received / total;
}

void PrefixCacheTracker::onEvents(const BackendKey& key, std::span<const CacheEvent> events)
{
    m_views.withShard(key, [&](auto& shard) {
        auto& view = viewOf(shard, key);
        for (const auto& event : events) {
            if (event.sequence <= view.sequence)
                continue;
            countArrival(view, event.sequence);
            if (event.stored)
                touch(view, event.block);
            else
                erase(view, event.block);
        }
    });
}

void PrefixCacheTracker::onSent(const BackendKey& key, std::span<const std::uint64_t> blocks)
{
    m_views.withShard(key, [&](auto& shard) {
        auto& view = viewOf(shard, key);
        for (const auto block : blocks)
            touch(view, block);
    });
}

void PrefixCacheTracker::onLost(const BackendKey& key)
{
    m_views.withShard(key, [&](auto& shard) { m_viewCount -= shard.erase(key); });
}

std::uint32_t PrefixCacheTracker::cachedTokens(const BackendKey& key, std::span<const std::uint64_t> blocks, std::uint32_t blockTokens, double trustPercent)
{
    constexpr double percent = 100;
    return m_views.withShard(key, [&](auto& shard) -> std::uint32_t {
        const auto it = shard.find(key);
        if (it == shard.end())
            return 0;
        // Hashes are chained, so a stored block implies those before it even if
        // their events were lost: the longest match counts.
        std::size_t matched = blocks.size();
        while (matched > 0 && !it->second.blocks.contains(blocks[matched - 1]))
            --matched;
        const double tokens = static_cast<double>(matched) * blockTokens;
        return static_cast<std::uint32_t>(tokens * completeness(it->second) * trustPercent / percent);
    });
}

double PrefixCacheTracker::eventCompleteness(const BackendKey& key)
{
    return m_views.withShard(key, [&](auto& shard) {
        const auto it = shard.find(key);
        return it == shard.end() ? 1.0 : completeness(it->second);
    });
}

std::uint64_t PrefixCacheTracker::lastSequence(const BackendKey& key)
{
    return m_views.withShard(key, [&](auto& shard) {
        const auto it = shard.find(key);
        return it == shard.end() ? std::uint64_t(0) : it->second.sequence;
    });
}

std::size_t PrefixCacheTracker::size()
{
    std::size_t sum = 0;
    m_views.forEachShard([&](auto& shard) {
        for (const auto& [key, view] : shard)
            sum += view.blocks.size();
    });
    return sum;
}

} // namespace yuccashift
