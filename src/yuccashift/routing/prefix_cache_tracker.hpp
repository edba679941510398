#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/sharded_map.hpp"
#include "yuccashift/ports/engine_control.hpp"
#include "yuccashift/routing/backend_key.hpp"

#include <atomic>
#include <list>
#include <span>
#include <unordered_map>

namespace yuccashift {

/**
 * What the prefix caches of backend servers are believed to hold, from events
 * that arrive late and with gaps. Memory is bounded per backend server
 * and in all.
 */
class PrefixCacheTracker {
public:
    static constexpr std::size_t maxTotalBlocks = 1 << 17;

    /** Keeps at most so many blocks for each backend server, and fewer where all together would exceed the second bound. */
    explicit PrefixCacheTracker(std::size_t blocksPerBackend = 4096, std::size_t blocksInAll = maxTotalBlocks);

    /** Events of one backend server, oldest first; repeats and old ones are dropped. */
    void onEvents(const BackendKey&, std::span<const CacheEvent>);
    /** A request with these blocks was sent there, so they are about to be stored. */
    void onSent(const BackendKey&, std::span<const std::uint64_t> blocks);
    /** The backend server was lost or restarted: it holds nothing. */
    void onLost(const BackendKey&);

    /** Tokens of the prefix believed cached, discounted by trust and by the gaps seen. */
    std::uint32_t cachedTokens(const BackendKey&, std::span<const std::uint64_t> blocks, std::uint32_t blockTokens, double trustPercent);
    /** Share of the events that arrived, recent ones counting most; 1 without gaps. */
    double eventCompleteness(const BackendKey&);
    /** Sequence number of the last event taken; the next poll starts after it. */
    std::uint64_t lastSequence(const BackendKey&);
    /** Blocks held for all backend servers together. */
    std::size_t size();

private:
    struct View {
        /** Least recently touched first. */
        std::list<std::uint64_t> order;
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks;
        std::uint64_t sequence = 0;
        double received = 0;
        double missed = 0;
    };

    using Views = ShardedMap<BackendKey, View>;

    View& viewOf(Views::Shard&, const BackendKey&);
    std::size_t blocksAllowed() const;
    static void trim(View&, std::size_t most);
    void touch(View&, std::uint64_t block) const;
    static void erase(View&, std::uint64_t block);
    static void countArrival(View&, std::uint64_t sequence);
    static double completeness(const View&);

    std::size_t m_blocksPerBackend;
    std::size_t m_blocksInAll;
    std::atomic<std::size_t> m_viewCount { 0 };
    Views m_views;
};

} // namespace yuccashift
