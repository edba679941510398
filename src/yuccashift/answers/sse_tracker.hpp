#pragma once

#include "yuccashift/kernel/error.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace yuccashift {

/**
 * Follows a stream of server-sent events and lets only whole events through,
 * so that a stream can be resumed at the token after the last one forwarded.
 *
 * Token events that carry a `token_index` are checked against the count: one
 * that was forwarded before is dropped, one that skips a token is an error.
 */
class SseTracker {
public:
    /**
     * No single event may be longer than this, in bytes. A stream that starts
     * at a later token than the first is a resumed one.
     */
    explicit SseTracker(std::size_t maxEventBytes, std::uint32_t firstToken = 0);

    /**
     * Takes the next bytes and appends the events they complete to `whole`.
     * AnswerIncomplete where an event is too long or out of its place; the
     * tracker then stays failed. Bytes after the end mark are dropped.
     */
    Result<void> feed(std::string_view chunk, std::string& whole);

    /**
     * Starts over at the next token on a new connection. Unfinished bytes are
     * dropped, and from now on every token event has to carry its index.
     */
    void resume();

    /** Whole token events forwarded; the offset at which to resume. */
    std::uint32_t tokens() const { return m_tokens; }

    /** Whether the end mark was seen. A stream without it is never whole. */
    bool done() const { return m_done; }

    /** Bytes held back because their event is not yet complete. */
    std::size_t pendingBytes() const { return m_pending.size(); }

private:
    Result<void> scan(std::string& whole);
    Result<void> accept(std::string_view event, std::string& whole);
    Result<bool> isNextToken(std::string_view payload);
    tl::unexpected<Error> giveUp(std::string detail);

    std::size_t m_maxEventBytes;
    /** The unfinished event, from its first byte. */
    std::string m_pending;
    /** Start of the line that is being read, in m_pending. */
    std::size_t m_lineStart = 0;
    std::uint32_t m_tokens = 0;
    bool m_done = false;
    bool m_failed = false;
    bool m_resumed = false;
};

} // namespace yuccashift
