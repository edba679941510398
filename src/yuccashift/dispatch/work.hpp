#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace yuccashift {

/** One part of a prompt; requests that begin with the same parts share them in an engine's cache. */
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/** Ranks of urgency that are told apart; 0 is the most urgent, and later ones count as the last. */
constexpr std::size_t priorityLevels = 4;

/** Output to expect of a request whose caller names only the most that may come. */
constexpr std::uint32_t expectedOutputTokens(std::uint32_t mostTokens)
{
    return mostTokens / 2;
}

/** What a request costs a backend server. */
struct WorkSize {
    std::vector<PromptPart> parts;
    std::uint32_t promptTokens = 0;
    /** Below priorityLevels; engines admit lower ranks first. */
    std::size_t priority = 0;
    /** Expected, not the most that may come. */
    std::uint32_t outputTokens = 0;

    std::uint32_t memoryTokens() const { return promptTokens + outputTokens; }
    /** The parts that other requests may have left in a cache; the last one belongs to the request. */
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
