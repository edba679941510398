#pragma once

#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/error.hpp"

#include <boost/asio/awaitable.hpp>
#include <string_view>

namespace yuccashift {

/**
 * An answer that arrives from a backend server or another instance. Destroying
 * it before its end cancels the exchange, and its connection is not used again.
 */
class IncomingAnswer {
public:
    virtual ~IncomingAnswer();
    virtual const AnswerHead& head() const = 0;
    /**
     * The next part of the body, valid until the next call; empty at the end.
     * AnswerIncomplete, BackendLost or PeerLost where the answer stops short.
     */
    virtual boost::asio::awaitable<Result<std::string_view>> next() = 0;
};

} // namespace yuccashift
