#include "yuccashift/dispatch/prefix_cache_estimator.hpp"

#include "yuccashift/kernel/hash.hpp"

namespace yuccashift {

namespace {

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
        if (!m_entries.contains(key))
            break;
        tokens += part.tokens;
    }
    return tokens;
}

void PrefixCacheEstimator::onPrefill(std::span<const PromptPart> parts)
{
    std::uint64_t key = 0;
    for (const auto& part : parts) {
        key = chainKey(key, part);
        if (const auto it = m_entries.find(key); it != m_entries.end()) {
            m_lru.splice(m_lru.begin(), m_lru, it->second);
            continue;
        }
        m_lru.push_front({ key, part.tokens });
        m_entries[key] = m_lru.begin();
        m_tokens += part.tokens;
    }
    while (m_tokens > m_maxTokens && !m_lru.empty()) {
        m_tokens -= m_lru.back().tokens;
        m_entries.erase(m_lru.back().key);
        m_lru.pop_back();
    }
}

void PrefixCacheEstimator::clear()
{
    m_lru.clear();
    m_entries.clear();
    m_tokens = 0;
}

} // namespace yuccashift
