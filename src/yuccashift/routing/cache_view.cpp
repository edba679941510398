#include "yuccashift/routing/cache_view.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift {
namespace {

    /** Weight that the count of events keeps with each further one. */
    constexpr double decay = 0.995;

} // namespace

CacheView::CacheView(std::size_t blocksPerBackend)
    : m_blocksPerBackend(blocksPerBackend)
{
}

void CacheView::touch(View& view, std::uint64_t block) const
{
    const auto it = view.blocks.find(block);
    if (it != view.blocks.end()) {
        view.order.splice(view.order.end(), view.order, it->second);
        return;
    }
    if (view.blocks.size() >= m_blocksPerBackend)
        erase(view, view.order.front());
    view.order.push_back(block);
    view.blocks.emplace(block, std::prev(view.order.end()));
}

void CacheView::erase(View& view, std::uint64_t block)
{
    const auto it = view.blocks.find(block);
    if (it == view.blocks.end())
        return;
    view.order.erase(it->second);
    view.blocks.erase(it);
}

void CacheView::countArrival(View& view, std::uint64_t sequence)
{
    const std::uint64_t skipped = view.sequence == 0 ? 0 : sequence - view.sequence - 1;
    view.received = view.received * decay + 1;
    view.missed = view.missed * decay + static_cast<double>(skipped);
    view.sequence = sequence;
}

double CacheView::completeness(const View& view)
{
    const double total = view.received + view.missed;
    return total == 0 ? 1 : view.received / total;
}

void CacheView::onEvents(const BackendKey& key, std::span<const CacheEvent> events)
{
    m_views.withShard(key, [&](auto& shard) {
        auto& view = shard[key];
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

void CacheView::onSent(const BackendKey& key, std::span<const std::uint64_t> blocks)
{
    m_views.withShard(key, [&](auto& shard) {
        auto& view = shard[key];
        for (const auto block : blocks)
            touch(view, block);
    });
}

void CacheView::onLost(const BackendKey& key)
{
    m_views.withShard(key, [&](auto& shard) { shard.erase(key); });
}

std::uint32_t CacheView::cachedTokens(const BackendKey& key, std::span<const std::uint64_t> blocks, std::uint32_t blockTokens, double trustPercent)
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

double CacheView::eventCompleteness(const BackendKey& key)
{
    return m_views.withShard(key, [&](auto& shard) {
        const auto it = shard.find(key);
        return it == shard.end() ? 1.0 : completeness(it->second);
    });
}

std::uint64_t CacheView::lastSequence(const BackendKey& key)
{
    return m_views.withShard(key, [&](auto& shard) {
        const auto it = shard.find(key);
        return it == shard.end() ? std::uint64_t(0) : it->second.sequence;
    });
}

} // namespace yuccashift
