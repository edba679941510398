#include "yuccashift/config/text_delta.hpp"

#include "peer_types.h"
#include "yuccashift/document/parser.hpp"

#include <unordered_map>

namespace yuccashift {

namespace {

    // Approximate encoded size of a part without its text.
    constexpr std::size_t partOverheadBytes = 10;

    std::vector<std::string_view> splitLines(std::string_view text)
    {
        std::vector<std::string_view> lines;
        while (!text.empty()) {
            const auto end = text.find('\n');
            const auto length = end == std::string_view::npos ? text.size() : end + 1;
            lines.push_back(text.substr(0, length));
            text.remove_prefix(length);
        }
        return lines;
    }

    /** Builds the parts of a delta, merging adjacent ranges and adjacent inserted lines. */
    class DeltaWriter {
    public:
        explicit DeltaWriter(std::string_view base)
            : m_base(base)
        {
        }

        void copy(std::string_view line)
        {
            const auto offset = static_cast<std::int32_t>(line.data() - m_base.data());
            const auto length = static_cast<std::int32_t>(line.size());
            if (!m_parts.empty() && !m_parts.back().__isset.text && m_parts.back().offset + m_parts.back().length == offset) {
                m_parts.back().length += length;
                return;
            }
            wire::TextPart part;
            part.offset = offset;
            part.length = length;
            m_parts.push_back(std::move(part));
        }

        void insert(std::string_view line)
        {
            if (m_parts.empty() || !m_parts.back().__isset.text) {
                wire::TextPart part;
                part.__set_text({});
                m_parts.push_back(std::move(part));
            }
            m_parts.back().text += line;
        }

        std::vector<wire::TextPart> take() { return std::move(m_parts); }

    private:
        std::string_view m_base;
        std::vector<wire::TextPart> m_parts;
    };

} // namespace

std::vector<wire::TextPart> makeTextDelta(std::string_view base, std::string_view target)
{
    const auto baseLines = splitLines(base);
    std::unordered_map<std::string_view, std::size_t> linePositions;
    for (std::size_t n = 0; n < baseLines.size(); ++n)
        linePositions.try_emplace(baseLines[n], n);
    DeltaWriter writer(base);
    // The line after the last copied one is tried first, so that a run of repeated lines stays one range.
    std::size_t nextBaseLine = 0;
    for (const auto line : splitLines(target)) {
        if (nextBaseLine < baseLines.size() && baseLines[nextBaseLine] == line) {
            writer.copy(baseLines[nextBaseLine++]);
            continue;
        }
        const auto it = linePositions.find(line);
        if (it == linePositions.end()) {
            writer.insert(line);
            // A new line more often replaces an old one than it is inserted between two.
            ++nextBaseLine;
            continue;
        }
        writer.copy(baseLines[it->second]);
        nextBaseLine = it->second + 1;
    }
    return writer.take();
}

std::optional<std::string> applyTextDelta(std::string_view base, std::span<const wire::TextPart> parts)
{
    std::string text;
    for (const auto& part : parts) {
        if (part.__isset.text) {
            text += part.text;
        } else {
            const bool isWithinBase = part.offset >= 0 && part.length >= 0 && static_cast<std::size_t>(part.offset) <= base.size()
                && static_cast<std::size_t>(part.length) <= base.size() - static_cast<std::size_t>(part.offset);
            if (!isWithinBase)
                return std::nullopt;
            text += base.substr(static_cast<std::size_t>(part.offset), static_cast<std::size_t>(part.length));
        }
        if (text.size() > maxDocumentBytes)
            return std::nullopt;
    }
    return text;
}

std::size_t textDeltaBytes(std::span<const wire::TextPart> parts)
{
    std::size_t bytes = 0;
    for (const auto& part : parts)
        bytes += partOverheadBytes + part.text.size();
    return bytes;
}

} // namespace yuccashift
