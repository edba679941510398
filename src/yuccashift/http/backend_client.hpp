#pragma once

#include "yuccashift/http/incoming_answer.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace yuccashift {

/** One request to a backend server. */
struct BackendCall {
    Endpoint endpoint;
    RequestMessage request;
    Instant deadline;
    /** Longest time without a byte once the answer has begun. */
    Duration progressTimeout = seconds(10);
    /** Longest time to the head of the answer, and from there to the first byte of its body. */
    Duration headTimeout = seconds(10);
    /** Uses a new connection, so that a stale pooled one cannot leave the outcome unknown. */
    bool freshConnection = false;
};

/** Sends requests to backend servers. */
class BackendClient {
public:
    virtual ~BackendClient();
    /**
     * Sends the request and waits for the head of the answer. BackendRefused
     * means that no byte of the request can have arrived; BackendLost that it may have run.
     */
    virtual boost::asio::awaitable<Result<std::unique_ptr<IncomingAnswer>>> send(BackendCall) = 0;
    /** Closes idle connections; to be called once the loops have ended and before they are destroyed. */
    virtual void closeIdle() = 0;
};

/** BackendClient over HTTP/1.1 with a pool of connections for each loop and endpoint. */
std::unique_ptr<BackendClient> makeHttpBackendClient(const Clock&);

/** Sends a request and collects its whole answer, up to a bound in bytes. */
struct CompleteAnswer {
    AnswerHead head;
    std::string body;
};
boost::asio::awaitable<Result<CompleteAnswer>> sendAndCollect(BackendClient&, BackendCall, std::size_t mostBytes);

} // namespace yuccashift
