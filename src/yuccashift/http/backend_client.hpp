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
    /** Maximum time without a byte while the request is written, and between two reads once the body has begun. */
    Duration progressTimeout = seconds(10);
    /** Maximum time to the head of the answer. Applies again, unless progressTimeout is longer, from the head to the first byte of the body. */
    Duration headTimeout = seconds(10);
    /** Opens a new connection, since a failure on a stale pooled one leaves the outcome of the request unknown. */
    bool freshConnection = false;
};

/** Sends requests to backend servers. */
class BackendClient {
public:
    virtual ~BackendClient();
    /**
     * Sends the request and waits for the head of the answer. BackendRefused if
     * no byte of the request can have reached the server, BackendLost if the
     * request may have run.
     */
    virtual boost::asio::awaitable<Result<std::unique_ptr<IncomingAnswer>>> send(BackendCall) = 0;
    /** Closes idle connections. Must be called after the event loops have ended and before they are destroyed. */
    virtual void closeIdle() = 0;
};

/** Creates a BackendClient over HTTP/1.1 with a connection pool for each event loop and endpoint. */
std::unique_ptr<BackendClient> makeHttpBackendClient(const Clock&);

/** An answer with its complete body. */
struct CompleteAnswer {
    AnswerHead head;
    std::string body;
};

/** Sends a request and collects the complete answer. AnswerIncomplete if the body exceeds `maxBytes`. */
boost::asio::awaitable<Result<CompleteAnswer>> sendAndCollect(BackendClient&, BackendCall, std::size_t maxBytes);

} // namespace yuccashift
