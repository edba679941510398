#pragma once

#include "yuccashift/answers/sse_event_splitter.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccashift {

/**
 * Forwards only complete server-sent events of a stream, in the order of their
 * ids, so that another server can continue the stream after the last forwarded
 * event.
 */
class SseEventFilter {
public:
    /**
     * Takes the next bytes of the stream and appends every event that they
     * complete to `completeEvents`. An event whose numeric id is not above that
     * of the last forwarded event is dropped.
     */
    void feed(std::string_view bytes, std::string& completeEvents);
    /** Bytes received so far of the event that is not complete yet. */
    std::string_view incompleteEvent() const { return m_events.incompleteEvent(); }
    /** Whether a stream without further bytes is broken off; see SseEventSplitter. */
    bool endsInsideEvent() const { return m_events.endsInsideEvent(); }
    /** Discards the incomplete event; to be called before another server continues the stream, since it sends that event again. */
    void discardIncompleteEvent() { m_events.discardIncompleteEvent(); }
    /** Id of the last forwarded event that had one; std::nullopt if there was none. */
    const std::optional<std::string>& lastId() const { return m_lastId; }
    /** Number of forwarded events. */
    std::uint64_t events() const { return m_forwardedEvents; }

private:
    void accept(std::string_view event, std::string& completeEvents);

    SseEventSplitter m_events;
    std::optional<std::string> m_lastId;
    std::optional<std::int64_t> m_lastNumber;
    std::uint64_t m_forwardedEvents = 0;
};

} // namespace yuccashift
