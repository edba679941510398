#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/sharded_map.hpp"
#include "yuccashift/platform/engine_control.hpp"
#include "yuccashift/routing/backend_key.hpp"

#include <list>
#include <span>
#include <unordered_map>

namespace yuccashift {

/**
 * What the prefix caches of backend servers are believed to hold, from events
 * that arrive late and with gaps. Memory is bounded per backend server.
 */
class CacheView {
public:
    /** Keeps at most this many blocks for each backend server. */
    explicit CacheView(std::size_t blocksPerBackend = 4096);

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

private:
    struct View {
        /** Least recently touched first. */
        std::list<std::uint64_t> order;
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks;
        std::uint64_t sequence = 0;
        double received = 0;
        double missed = 0;
    };

    void touch(View&, std::uint64_t block) const;
    static void erase(View&, std::uint64_t block);
    static void countArrival(View&, std::uint64_t sequence);
    static double completeness(const View&);

    std::size_t m_blocksPerBackend;
    ShardedMap<BackendKey, View> m_views;
};

} // namespace yuccashift
