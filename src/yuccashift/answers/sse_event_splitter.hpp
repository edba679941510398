#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace yuccashift {

/** Limit on the length of one event in bytes; a longer one is taken for bytes without end. */
constexpr std::size_t maxEventBytes = 256 * 1024;

/** Splits the bytes of a stream of server-sent events into events, and tells whether the stream may end where it does. */
class SseEventSplitter {
public:
    /** Takes the next bytes of the stream. */
    void feed(std::string_view bytes);
    /** The next complete event with the empty line that ends it, valid until the next call of feed(); std::nullopt if there is none yet. */
    std::optional<std::string_view> next();
    /** Bytes of the event that is not complete yet. */
    std::string_view incompleteEvent() const { return std::string_view(m_bytes).substr(m_eventStart); }
    /** Whether a stream without further bytes is broken off. Comments after the last event belong to none. */
    bool endsInsideEvent() const;
    /** Discards the incomplete event. */
    void discardIncompleteEvent();

private:
    std::string m_bytes;
    /** Offset of the first byte after the events that next() returned. */
    std::size_t m_eventStart = 0;
    /** Offset of the line that is not complete yet. */
    std::size_t m_lineStart = 0;
};

/** Whether a complete stream of events ends inside an event. */
bool endsInsideEvent(std::string_view stream);

} // namespace yuccashift
