#include "yuccashift/answers/sse_event_splitter.hpp"

namespace yuccashift {

void SseEventSplitter::feed(std::string_view bytes)
{
    m_bytes.erase(0, m_eventStart);
    m_lineStart -= m_eventStart;
    m_eventStart = 0;
    m_bytes.append(bytes);
}

std::optional<std::string_view> SseEventSplitter::next()
{
    const std::string_view text = m_bytes;
    for (auto lineEnd = text.find('\n', m_lineStart); lineEnd != std::string_view::npos; lineEnd = text.find('\n', m_lineStart)) {
        const auto line = text.substr(m_lineStart, lineEnd - m_lineStart);
        m_lineStart = lineEnd + 1;
        if (!line.empty() && line != "\r")
            continue;
        const auto event = text.substr(m_eventStart, m_lineStart - m_eventStart);
        m_eventStart = m_lineStart;
        return event;
    }
    return {};
}

bool SseEventSplitter::endsInsideEvent() const
{
    auto rest = incompleteEvent();
    while (!rest.empty()) {
        const auto lineEnd = rest.find('\n');
        if (lineEnd == std::string_view::npos || rest.front() != ':')
            return true;
        rest.remove_prefix(lineEnd + 1);
    }
    return false;
}

void SseEventSplitter::discardIncompleteEvent()
{
    m_bytes.clear();
    m_eventStart = 0;
    m_lineStart = 0;
}

bool endsInsideEvent(std::string_view stream)
{
    SseEventSplitter splitter;
    splitter.feed(stream);
    while (splitter.next()) { }
    return splitter.endsInsideEvent();
}

} // namespace yuccashift
