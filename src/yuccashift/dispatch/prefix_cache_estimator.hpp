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
 * A part costs memory here however few tokens it has, so that the number of parts
 * has a limit as well, which parts of few tokens meet first. Those without any are not kept.
 */
class PrefixCacheEstimator {
public:
    explicit PrefixCacheEstimator(std::uint64_t maxTokens);

    /** Number of leading tokens that the engine is expected to have cached. */
    std::uint32_t cachedTokens(std::span<const PromptPart>) const;
    /** Records a prompt that was sent to the engine. Then keeps at most `maxParts` parts. */
    void onPrefill(std::span<const PromptPart>, std::size_t maxParts = defaultMaxParts);
    void clear();
    std::size_t size() const { return m_entries.size(); }
    static constexpr std::size_t defaultMaxParts = 256 * 1024;
    /** Memory of one part, in bytes. */
    static constexpr std::size_t bytesPerPart = 96;

private:
    struct Entry {
        std::uint64_t key;
        std::uint32_t tokens;
    };

    using Lru = std::list<Entry>;

    Lru& listOf(std::uint32_t tokens);
    void evictLast(Lru&);

    std::uint64_t m_maxTokens;
    std::uint64_t m_tokens = 0;
    /** Most recently used entry first. */
    Lru m_lru;
    /** The same for parts of few tokens, so that many of them do not evict the others. */
    Lru m_small;
    /** Keyed by a hash over a part and all parts before it. */
    std::unordered_map<std::uint64_t, Lru::iterator> m_entries;
};

} // namespace yuccashift
