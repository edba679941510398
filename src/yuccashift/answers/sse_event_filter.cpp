#include "yuccashift/answers/sse_event_filter.hpp"

#include <algorithm>
#include <charconv>

namespace yuccashift {

namespace {

    /** Length in bytes of the first event including its empty line; 0 if the event is not complete. */
    std::size_t eventLength(std::string_view text)
    {
        const auto lfPosition = text.find("\n\n");
        const auto crlfPosition = text.find("\r\n\r\n");
        const auto lfEnd = lfPosition == std::string_view::npos ? lfPosition : lfPosition + 2;
        const auto crlfEnd = crlfPosition == std::string_view::npos ? crlfPosition : crlfPosition + 4;
        const auto end = std::min(lfEnd, crlfEnd);
        return end == std::string_view::npos ? 0 : end;
    }

    /** Value of the event's first `id` field; std::nullopt if it has none. */
    std::optional<std::string_view> idOf(std::string_view event)
    {
        constexpr std::string_view field = "id:";
        while (!event.empty()) {
            const auto end = std::min(event.find('\n'), event.size());
            auto line = event.substr(0, end);
            event.remove_prefix(std::min(end + 1, event.size()));
            if (line.ends_with('\r'))
                line.remove_suffix(1);
            if (!line.starts_with(field))
                continue;
            line.remove_prefix(field.size());
            if (line.starts_with(' '))
                line.remove_prefix(1);
            return line;
        }
        return {};
    }

    /** The id as an integer; std::nullopt if it is not one. */
    std::optional<std::int64_t> numberOf(std::string_view id)
    {
        std::int64_t value = 0;
        const auto [end, ec] = std::from_chars(id.data(), id.data() + id.size(), value);
        if (ec != std::errc() || end != id.data() + id.size())
            return {};
        return value;
    }

} // namespace

void SseEventFilter::feed(std::string_view bytes, std::string& completeEvents)
{
    m_pending.append(bytes);
    std::string_view text = m_pending;
    for (auto n = eventLength(text); n > 0; n = eventLength(text)) {
        accept(text.substr(0, n), completeEvents);
        text.remove_prefix(n);
    }
    m_pending.erase(0, m_pending.size() - text.size());
}

void SseEventFilter::accept(std::string_view event, std::string& completeEvents)
{
    if (const auto id = idOf(event)) {
        const auto number = numberOf(*id);
        if (number && m_lastNumber && *number <= *m_lastNumber)
            return;
        m_lastId = std::string(*id);
        m_lastNumber = number;
    }
    ++m_events;
    completeEvents.append(event);
}

} // namespace yuccashift
