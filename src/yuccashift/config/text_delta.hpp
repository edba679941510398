#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace yuccashift {

namespace wire {
    class TextPart;
} // namespace wire

/** Computes a line-based delta: the target as a sequence of ranges copied from the base and inserted lines. */
std::vector<wire::TextPart> makeTextDelta(std::string_view base, std::string_view target);

/** Applies a delta to its base. Returns std::nullopt if a part lies outside the base or the result exceeds maxDocumentBytes. */
std::optional<std::string> applyTextDelta(std::string_view base, std::span<const wire::TextPart>);

/** Approximate size of the parts in a message, in bytes. */
std::size_t textDeltaBytes(std::span<const wire::TextPart>);

} // namespace yuccashift
