#include "yuccashift/answers/sse_tracker.hpp"

#include <charconv>
#include <optional>

namespace yuccashift {

namespace {

    constexpr std::string_view endMark = "[DONE]";

    std::string_view withoutCarriageReturn(std::string_view line)
    {
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return line;
    }

    std::string_view trimLeft(std::string_view text)
    {
        const auto start = text.find_first_not_of(" \t");
        return start == std::string_view::npos ? std::string_view {} : text.substr(start);
    }

    // Returns the value of the event's first data line; std::nullopt if the event has only comments or other fields.
    std::optional<std::string_view> dataOf(std::string_view event)
    {
        constexpr std::string_view field = "data:";
        while (!event.empty()) {
            const auto end = event.find('\n');
            const auto line = withoutCarriageReturn(event.substr(0, end));
            if (line.starts_with(field))
                return trimLeft(line.substr(field.size()));
            event = end == std::string_view::npos ? std::string_view {} : event.substr(end + 1);
        }
        return std::nullopt;
    }

    // Quotes inside JSON strings are escaped, so a match of this text can only be a key.
    // Returns std::nullopt if there is no such key or no number behind it.
    std::optional<std::uint64_t> tokenIndexOf(std::string_view payload)
    {
        constexpr std::string_view key = "\"token_index\":";
        const auto position = payload.find(key);
        if (position == std::string_view::npos)
            return std::nullopt;
        const auto digits = trimLeft(payload.substr(position + key.size()));
        std::uint64_t index = 0;
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), index);
        return ec == std::errc {} ? std::optional(index) : std::nullopt;
    }

} // namespace

SseTracker::SseTracker(std::size_t maxEventBytes, std::uint32_t firstToken)
    : m_maxEventBytes(maxEventBytes)
    , m_tokens(firstToken)
    , m_resumed(firstToken > 0)
{
}

Result<void> SseTracker::feed(std::string_view chunk, std::string& completeEvents)
{
    if (m_failed)
        return fail(ErrorKind::AnswerIncomplete, "the stream failed before");
    if (m_done)
        return {};
    m_events.feed(chunk);
    return scan(completeEvents);
}

void SseTracker::resume()
{
    m_events.discardIncompleteEvent();
    m_failed = false;
    m_resumed = true;
}

Result<void> SseTracker::scan(std::string& completeEvents)
{
    while (!m_done) {
        const auto event = m_events.next();
        if (!event)
            break;
        auto accepted = accept(*event, completeEvents);
        if (!accepted)
            return accepted;
    }
    if (m_done)
        m_events.discardIncompleteEvent();
    if (pendingBytes() > m_maxEventBytes)
        return failStream("an event exceeds its bound");
    return {};
}

Result<void> SseTracker::accept(std::string_view event, std::string& completeEvents)
{
    if (event.size() > m_maxEventBytes)
        return failStream("an event exceeds its bound");
    const auto payload = dataOf(event);
    if (payload && payload->starts_with('{')) {
        const auto next = isNextToken(*payload);
        if (!next)
            return tl::unexpected(next.error());
        if (!*next)
            return {};
        ++m_tokens;
    }
    m_done = payload && *payload == endMark;
    completeEvents.append(event);
    return {};
}

Result<bool> SseTracker::isNextToken(std::string_view payload)
{
    const auto index = tokenIndexOf(payload);
    // Without token indices a server that ignored the resume offset would not be detected.
    if (!index && m_resumed)
        return failStream("a resumed stream does not number its tokens");
    if (!index)
        return true;
    if (*index > m_tokens)
        return failStream("a token is missing");
    return *index == m_tokens;
}

tl::unexpected<Error> SseTracker::failStream(std::string detail)
{
    m_failed = true;
    m_events.discardIncompleteEvent();
    return fail(ErrorKind::AnswerIncomplete, std::move(detail));
}

} // namespace yuccashift
