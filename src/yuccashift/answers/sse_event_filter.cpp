#include "yuccashift/answers/sse_event_filter.hpp"

#include <algorithm>
#include <charconv>

namespace yuccashift {

namespace {

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
    m_events.feed(bytes);
    while (const auto event = m_events.next())
        accept(*event, completeEvents);
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
    ++m_forwardedEvents;
    completeEvents.append(event);
}

} // namespace yuccashift
