#include "standins/common/prefix_cache.hpp"

namespace standins {

PrefixCache::PrefixCache(std::size_t maxBlocks)
    : m_maxBlocks(maxBlocks)
{
}

std::size_t PrefixCache::match(std::span<const std::uint64_t> blocks)
{
    std::size_t n = 0;
    for (; n < blocks.size() && holds(blocks[n]); ++n)
        use(blocks[n]);
    return n;
}

void PrefixCache::store(std::uint64_t block)
{
    if (holds(block)) {
        use(block);
        return;
    }
    if (m_maxBlocks == 0)
        return;
    if (m_order.size() >= m_maxBlocks) {
        const auto oldest = m_order.back();
        m_order.pop_back();
        m_blocks.erase(oldest);
        if (onChange)
            onChange(oldest, false);
    }
    m_order.push_front(block);
    m_blocks[block] = m_order.begin();
    if (onChange)
        onChange(block, true);
}

bool PrefixCache::holds(std::uint64_t block) const
{
    return m_blocks.contains(block);
}

void PrefixCache::use(std::uint64_t block)
{
    m_order.splice(m_order.begin(), m_order, m_blocks.at(block));
}

} // namespace standins
