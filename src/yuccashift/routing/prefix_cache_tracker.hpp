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
 * Estimates the contents of the backend servers' prefix caches from cache events,
 * which arrive late and with gaps, and from the requests sent. The number of blocks
 * kept is bounded per backend server and in total. Thread safe.
 */
class PrefixCacheTracker {
public:
    static constexpr std::size_t maxTotalBlocks = 1 << 17;

    /**
     * Keeps at most blockLimitPerBackend blocks for each backend server, and fewer
     * if the sum over all backend servers would exceed totalBlockLimit.
     */
    explicit PrefixCacheTracker(std::size_t blockLimitPerBackend = 4096, std::size_t totalBlockLimit = maxTotalBlocks);

    /** Applies events of one backend server, oldest first; drops events whose sequence number is not above the last one. */
    void onEvents(const BackendKey&, std::span<const CacheEvent>);
    /** Records that a request with these prefix blocks was sent to the backend server, which will store them. */
    void onSent(const BackendKey&, std::span<const std::uint64_t> blocks);
    /** Clears the backend server's blocks, events and gaps after it was lost or restarted. */
    void onLost(const BackendKey&);

    /**
     * Estimated number of cached tokens of the prefix, scaled down by trustPercent and by
     * the share of events missed; 0 for an unknown backend server.
     */
    std::uint32_t cachedTokens(const BackendKey&, std::span<const std::uint64_t> blocks, std::uint32_t blockTokens, double trustPercent);
    /** Share of events that arrived, in (0, 1], weighted towards recent ones; 1 if none is missing or known. */
    double eventCompleteness(const BackendKey&);
    /** Sequence number of the last event applied, after which the next poll starts; 0 if there is none. */
    std::uint64_t lastSequence(const BackendKey&);
    /** Number of blocks tracked over all backend servers. */
    std::size_t size();

private:
    struct BackendCache {
        /** Blocks in order of use, least recently used first. */
        std::list<std::uint64_t> order;
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks;
        std::uint64_t sequence = 0;
        double received = 0;
        double missed = 0;
    };

    using BackendCaches = ShardedMap<BackendKey, BackendCache>;

    BackendCache& backendCache(BackendCaches::Shard&, const BackendKey&);
    std::size_t currentBlockLimit() const;
    static void trim(BackendCache&, std::size_t limit);
    void touch(BackendCache&, std::uint64_t block) const;
    static void erase(BackendCache&, std::uint64_t block);
    static void recordSequence(BackendCache&, std::uint64_t sequence);
    static double completeness(const BackendCache&);

    std::size_t m_blockLimitPerBackend;
    std::size_t m_totalBlockLimit;
    std::atomic<std::size_t> m_backendCount { 0 };
    BackendCaches m_backends;
};

} // namespace yuccashift
