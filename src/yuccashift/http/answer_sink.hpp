#pragma once

#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/error.hpp"

#include <boost/asio/awaitable.hpp>
#include <string_view>

namespace yuccashift {

/**
 * Receives one answer: head(), any number of chunk(), then end(); or fail() at
 * any point instead of what is left. Each returns false once the receiver is
 * gone. An answer without end() is incomplete, and the receiver can tell.
 */
class AnswerSink {
public:
    virtual ~AnswerSink();
    virtual boost::asio::awaitable<bool> head(AnswerHead) = 0;
    virtual boost::asio::awaitable<bool> chunk(std::string_view) = 0;
    virtual boost::asio::awaitable<bool> end() = 0;
    /** The answer, or the rest of it, is replaced by an error; `extra` are headers for an error answer. */
    virtual boost::asio::awaitable<void> fail(const Error&, const HeaderFields& extra) = 0;
    /** Whether head() has been called. */
    virtual bool headSent() const = 0;
};

/** Sends an answer whose body is at hand. */
boost::asio::awaitable<bool> sendComplete(AnswerSink&, AnswerHead, std::string_view body);

} // namespace yuccashift
