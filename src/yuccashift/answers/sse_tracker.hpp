#pragma once

#include "yuccashift/answers/sse_event_splitter.hpp"
#include "yuccashift/kernel/error.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace yuccashift {

/**
 * Parses a stream of server-sent events and forwards only complete events, so
 * that the stream can be resumed at the token after the last forwarded one.
 *
 * The `token_index` of a token event is compared with the number of forwarded
 * tokens: an event that was forwarded before is dropped, and an event that
 * skips a token is an error.
 */
class SseTracker {
public:
    /**
     * @param maxEventBytes limit of a single event's length in bytes
     * @param firstToken index of the first expected token; above 0 the stream counts as resumed
     */
    explicit SseTracker(std::size_t maxEventBytes, std::uint32_t firstToken = 0);

    /**
     * Takes the next bytes and appends the events that they complete to
     * `completeEvents`. Fails with AnswerIncomplete if an event is too long,
     * skips a token or lacks its index after a resume; every later call then
     * fails until resume() is called. Bytes after the end mark are dropped.
     */
    Result<void> feed(std::string_view chunk, std::string& completeEvents);

    /**
     * Prepares for the rest of the stream from a new connection. The incomplete
     * event is discarded, and from now on every token event must carry its index.
     */
    void resume();

    /** Index of the next expected token, which is the offset at which to resume. */
    std::uint32_t tokenCount() const { return m_tokens; }

    /** Whether the end mark was received. A stream without it is incomplete. */
    bool done() const { return m_done; }

    /** Size in bytes of the event that is not complete yet. */
    std::size_t pendingBytes() const { return m_events.incompleteEvent().size(); }

private:
    Result<void> scan(std::string& completeEvents);
    Result<void> accept(std::string_view event, std::string& completeEvents);
    Result<bool> isNextToken(std::string_view payload);
    tl::unexpected<Error> failStream(std::string detail);

    std::size_t m_maxEventBytes;
    SseEventSplitter m_events;
    std::uint32_t m_tokens = 0;
    bool m_done = false;
    bool m_failed = false;
    bool m_resumed = false;
};

} // namespace yuccashift
