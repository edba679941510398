#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace yuccashift {

/** One part of a prompt; an engine's cache shares the leading parts that requests have in common. */
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/** Number of priority levels; 0 is the most urgent, and values above the last level count as the last. */
constexpr std::size_t priorityLevels = 4;

/** Expected output tokens of a request whose caller states only a maximum. */
constexpr std::uint32_t expectedOutputTokens(std::uint32_t maxTokens)
{
    return maxTokens / 2;
}

/** Load that a request puts on a backend server. */
struct WorkSize {
    std::vector<PromptPart> parts;
    std::uint32_t promptTokens = 0;
    /** Priority level; engines admit lower values first. */
    std::size_t priority = 0;
    /** Expected number, not the maximum that the caller allows. */
    std::uint32_t outputTokens = 0;

    /** Tokens that the request occupies in the engine's memory. */
    std::uint32_t memoryTokens() const { return promptTokens + outputTokens; }
    /** All parts but the last, which is specific to the request; other requests may have left these in a cache. */
    std::span<const PromptPart> sharedParts() const { return std::span(parts).first(parts.empty() ? 0 : parts.size() - 1); }
    std::uint32_t sharedTokens() const
    {
        std::uint32_t tokens = 0;
        for (const auto& part : sharedParts())
            tokens += part.tokens;
        return std::min(tokens, promptTokens);
    }
};

} // namespace yuccashift
