#pragma once

#include "yuccashift/dispatch/work.hpp"

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace yuccashift {

/**
 * Prompt prefixes that one engine is believed to hold, learned from what was
 * sent to it. A bound in tokens drops the least recently used, as the engine does.
 */
class PrefixCacheEstimator {
public:
    explicit PrefixCacheEstimator(std::uint64_t mostTokens);

    /** Tokens at the start of these parts that need not be read again. */
    std::uint32_t cachedTokens(std::span<const PromptPart>) const;
    /** The engine has read these parts. */
    void onPrefill(std::span<const PromptPart>);
    void clear();
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        std::uint64_t key;
        std::uint32_t tokens;
    };

    std::uint64_t m_mostTokens;
    std::uint64_t m_tokens = 0;
    /** Most recently used first. */
    std::list<Entry> m_order;
    /** By a hash over a part and all parts before it. */
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_entries;
};

} // namespace yuccashift
