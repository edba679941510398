#include "yuccashift/dispatch/prefix_cache_estimator.hpp"

#include "yuccashift/kernel/hash.hpp"

namespace yuccashift {

namespace {

    /** A part of fewer tokens counts as small: it saves an engine next to nothing. */
    constexpr std::uint32_t smallPartTokens = 16;
    /** Small parts may be one in so many of those that are kept of one engine. */
    constexpr std::size_t smallPartsDivisor = 8;

    std::uint64_t chainKey(std::uint64_t prefixKey, const PromptPart& part)
    {
        return mix64(prefixKey ^ mix64(part.id) ^ part.tokens);
    }

} // namespace

PrefixCacheEstimator::PrefixCacheEstimator(std::uint64_t maxTokens)
    : m_maxTokens(maxTokens)
{
}

std::uint32_t PrefixCacheEstimator::cachedTokens(std::span<const PromptPart> parts) const
{
    std::uint64_t key = 0;
    std::uint32_t tokens = 0;
    for (const auto& part : parts) {
        key = chainKey(key, part);
        if (part.tokens > 0 && !m_entries.contains(key))
            break;
        tokens += part.tokens;
    }
    return tokens;
}

void PrefixCacheEstimator::onPrefill(std::span<const PromptPart> parts, std::size_t maxParts)
{
    std::uint64_t key = 0;
    for (const auto& part : parts) {
        key = chainKey(key, part);
        if (part.tokens == 0)
            continue;
        auto& lru = listOf(part.tokens);
        if (const auto it = m_entries.find(key); it != m_entries.end()) {
            lru.splice(lru.begin(), lru, it->second);
            continue;
        }
        lru.push_front({ key, part.tokens });
        m_entries[key] = lru.begin();
        m_tokens += part.tokens;
    }
    while (m_small.size() > maxParts / smallPartsDivisor)
        evictLast(m_small);
    while (!m_entries.empty() && (m_tokens > m_maxTokens || m_entries.size() > maxParts))
        evictLast(m_lru.empty() ? m_small : m_lru);
}

PrefixCacheEstimator::Lru& PrefixCacheEstimator::listOf(std::uint32_t tokens)
{
    return tokens < smallPartTokens ? m_small : m_lru;
}

void PrefixCacheEstimator::evictLast(Lru& lru)
{
    m_tokens -= lru.back().tokens;
    m_entries.erase(lru.back().key);
    lru.pop_back();
}

void PrefixCacheEstimator::clear()
{
    m_lru.clear();
    m_small.clear();
    m_entries.clear();
    m_tokens = 0;
}

} // namespace yuccashift
