#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <span>
#include <unordered_map>

namespace standins {

/** KV-cache blocks identified by hash, with LRU eviction. */
class PrefixCache {
public:
    explicit PrefixCache(std::size_t maxBlocks);

    /** Returns how many leading blocks are cached and marks them as used. */
    std::size_t match(std::span<const std::uint64_t> blocks);
    void store(std::uint64_t block);
    bool holds(std::uint64_t block) const;
    std::size_t size() const { return m_order.size(); }

    /** Called when a block is stored (true) or evicted (false). */
    std::function<void(std::uint64_t block, bool stored)> onChange;

private:
    void use(std::uint64_t block);

    std::size_t m_maxBlocks;
    /** Block hashes, most recently used first. */
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

} // namespace standins
