#pragma once

#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/error.hpp"

#include <boost/asio/awaitable.hpp>
#include <string_view>

namespace yuccashift {

/**
 * An answer that is being received from a backend server or another instance.
 * Destroying it before its end cancels the exchange, and its connection is not
 * reused.
 */
class IncomingAnswer {
public:
    virtual ~IncomingAnswer();
    virtual const AnswerHead& head() const = 0;
    /**
     * Returns the next part of the body, valid until the next call, or an empty
     * view at the end. AnswerIncomplete, BackendLost or PeerLost if the answer is cut off.
     */
    virtual boost::asio::awaitable<Result<std::string_view>> next() = 0;
};

} // namespace yuccashift
