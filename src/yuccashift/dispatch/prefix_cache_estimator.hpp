#pragma once

#include "yuccashift/dispatch/work.hpp"

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace yuccashift {

/**
 * Estimates which prompt prefixes one engine has cached, from the prompts sent to
 * it. Above a limit in tokens it evicts the least recently used, as the engine does.
 */
class PrefixCacheEstimator {
public:
    explicit PrefixCacheEstimator(std::uint64_t maxTokens);

    /** Number of leading tokens that the engine is expected to have cached. */
    std::uint32_t cachedTokens(std::span<const PromptPart>) const;
    /** Records a prompt that was sent to the engine. */
    void onPrefill(std::span<const PromptPart>);
    void clear();
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        std::uint64_t key;
        std::uint32_t tokens;
    };

    std::uint64_t m_maxTokens;
    std::uint64_t m_tokens = 0;
    /** Most recently used entry first. */
    std::list<Entry> m_lru;
    /** Keyed by a hash over a part and all parts before it. */
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_entries;
};

} // namespace yuccashift
