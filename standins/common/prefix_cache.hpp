#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <span>
#include <unordered_map>

namespace standins {

/** Blocks of KV cache by hash; the least recently used ones are evicted. */
class PrefixCache {
public:
    explicit PrefixCache(std::size_t mostBlocks);

    /** How many of the leading blocks are held; marks them as used. */
    std::size_t match(std::span<const std::uint64_t> blocks);
    void store(std::uint64_t block);
    bool holds(std::uint64_t block) const;
    std::size_t size() const { return m_order.size(); }

    /** Called with each block that is stored (true) or evicted (false). */
    std::function<void(std::uint64_t block, bool stored)> onChange;

private:
    void use(std::uint64_t block);

    std::size_t m_mostBlocks;
    /** Most recently used first. */
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

} // namespace standins
