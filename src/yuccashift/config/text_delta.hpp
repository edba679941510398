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

/** The target as parts copied from the base and new lines between them. */
std::vector<wire::TextPart> makeTextDelta(std::string_view base, std::string_view target);

/** The text that the parts describe; nothing where they reach outside the base or past the bound of a document. */
std::optional<std::string> applyTextDelta(std::string_view base, std::span<const wire::TextPart>);

/** Bytes that the parts take in a message, roughly. */
std::size_t textDeltaBytes(std::span<const wire::TextPart>);

} // namespace yuccashift
