#pragma once

#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/error.hpp"

#include <boost/asio/awaitable.hpp>
#include <string_view>

namespace yuccashift {

/**
 * Writes one answer to its receiver: head(), any number of chunk() calls, then
 * end(). fail() may replace the remaining calls at any point. head(), chunk()
 * and end() return false once the receiver has disconnected. The receiver can
 * tell an answer without end() from a complete one.
 */
class AnswerSink {
public:
    virtual ~AnswerSink();
    virtual boost::asio::awaitable<bool> head(AnswerHead) = 0;
    virtual boost::asio::awaitable<bool> chunk(std::string_view) = 0;
    virtual boost::asio::awaitable<bool> end() = 0;
    /** Sends an error instead of the answer, or of the rest of it. `extra` holds additional headers for the error answer. */
    virtual boost::asio::awaitable<void> fail(const Error&, const HeaderFields& extra) = 0;
    /** Limits the time for which a receiver that does not read can hold up chunk(). */
    virtual void setDeadline(Instant) { }
    /** Whether head() has been called. */
    virtual bool headSent() const = 0;
};

/** Sends a complete answer with its Content-Length. Returns false once the receiver has disconnected. */
boost::asio::awaitable<bool> sendComplete(AnswerSink&, AnswerHead, std::string_view body);

} // namespace yuccashift
