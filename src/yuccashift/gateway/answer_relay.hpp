#pragma once

#include "yuccashift/answers/sse_tracker.hpp"
#include "yuccashift/answers/stream_software.hpp"
#include "yuccashift/http/answer_sink.hpp"
#include "yuccashift/http/incoming_answer.hpp"

#include <optional>

namespace yuccashift {

/**
 * Relays the incoming answers of one request to its caller. A token stream is
 * relayed event by event, so that the answer of another attempt can continue at
 * the next token. Other small answers are buffered first, so that another
 * attempt can replace them.
 */
class AnswerRelay {
public:
    /**
     * @param offset number of complete tokens that the caller already has
     * @param software the software that wrote them
     */
    AnswerRelay(AnswerSink&, std::uint32_t offset, const StreamSoftware& software = {});

    /**
     * Relays one incoming answer, written by a server with the given software, up to its end. Fails with Cancelled
     * if the receiver has disconnected, otherwise with the error of the incoming answer.
     */
    boost::asio::awaitable<Result<void>> run(IncomingAnswer&, SoftwareId);

    /** Whether anything has been sent to the caller. */
    bool started() const { return m_sink.headSent(); }
    /** Whether the answer is a stream of numbered tokens. */
    bool isTokenStream() const { return m_tracker.has_value(); }
    /** Number of complete tokens that the caller has. */
    std::uint32_t deliveredTokens() const;
    /** Number of tokens that this relay sent; for an answer that is no token stream, an estimate from the body's size. */
    std::uint32_t tokensSent() const;
    /** The software that wrote the tokens that the caller has. */
    const StreamSoftware& streamSoftware() const { return m_streamSoftware; }

private:
    boost::asio::awaitable<Result<void>> relayEvents(IncomingAnswer&, SoftwareId);
    boost::asio::awaitable<Result<void>> relayBuffered(IncomingAnswer&);
    boost::asio::awaitable<Result<void>> relayUnbuffered(IncomingAnswer&);

    AnswerSink& m_sink;
    std::uint32_t m_offset;
    StreamSoftware m_streamSoftware;
    std::optional<SseTracker> m_tracker;
    std::size_t m_bodyBytes = 0;
};

} // namespace yuccashift
