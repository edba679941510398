#pragma once

#include "yuccashift/answers/sse_tracker.hpp"
#include "yuccashift/http/answer_sink.hpp"
#include "yuccashift/http/incoming_answer.hpp"

#include <optional>

namespace yuccashift {

/**
 * Passes incoming answers of one request on to its caller. Streams of tokens
 * are passed on event by event, so that another answer can go on at the next
 * token; small whole answers are collected first, so that another attempt can
 * replace them.
 */
class AnswerRelay {
public:
    /** @param offset whole tokens that the caller already has */
    AnswerRelay(AnswerSink&, std::uint32_t offset);

    /**
     * Passes one incoming answer on to its end. Cancelled where the receiver
     * is gone; otherwise the failure of the incoming answer.
     */
    boost::asio::awaitable<Result<void>> run(IncomingAnswer&);

    /** Whether anything has gone to the caller. */
    bool started() const { return m_sink.started(); }
    /** Whether the answer is a stream of numbered tokens. */
    bool isTokenStream() const { return m_tracker.has_value(); }
    /** Whole tokens that the caller has. */
    std::uint32_t tokens() const;
    /** Tokens passed on by this relay, or those estimated from a whole answer's size. */
    std::uint32_t tokensSent() const;

private:
    boost::asio::awaitable<Result<void>> relayEvents(IncomingAnswer&);
    boost::asio::awaitable<Result<void>> relayWhole(IncomingAnswer&);
    boost::asio::awaitable<Result<void>> relayParts(IncomingAnswer&);

    AnswerSink& m_sink;
    std::uint32_t m_offset;
    std::optional<SseTracker> m_tracker;
    std::size_t m_bodyBytes = 0;
};

} // namespace yuccashift
