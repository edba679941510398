#pragma once

#include "yuccashift/http/memory_account.hpp"
#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace yuccashift {

/** Stage at which an exchange failed. */
enum class OutboundFailure {
    /** No byte of the request was written, so it cannot have run. */
    NotSent,
    /** Writing the request had begun, and no complete answer arrived; the request may have run. */
    Lost,
    /**
     * Writing the request had begun, and the other system acknowledges nothing any more: its link or its machine is
     * silent. The request may have run; the process there has not closed the connection.
     */
    Silent,
    /** The exchange failed after the head of the answer and before its end. */
    Truncated,
};

std::string_view toString(OutboundFailure);

/** Receives one answer: its head, any number of body parts, then its end. A failure may replace the remaining calls. */
class OutboundListener {
public:
    virtual ~OutboundListener();
    virtual void onAnswerHead(const AnswerHead&) = 0;
    virtual void onAnswerBody(std::string_view) = 0;
    virtual void onAnswerEnd() = 0;
    virtual void onAnswerFailure(OutboundFailure, std::string_view reason) = 0;
};

/** Which request an answer belongs to, by its head. */
enum class AnswerOwner {
    ThisRequest,
    AnotherRequest,
    /** The head does not name a request. */
    Unnamed,
};

/** One request to another process. */
struct OutboundRequest {
    Endpoint endpoint;
    /** Connections are reused only under the same key, so that a new server never gets connections of an earlier one at its address. */
    std::string poolKey;
    /** Request line, headers and body as they are sent. */
    std::string bytes;
    /**
     * Tells the owner of an answer with this head. Answers to other requests are read and discarded. One that names no
     * request fails the exchange if an earlier one on the connection named its own. Accepts every answer if empty.
     */
    std::function<AnswerOwner(const AnswerHead&)> ownerOf;
    /** Maximum idle time of a reused connection; zero always opens a new one. */
    Duration maxIdleAge = seconds(60);
    Duration connectTimeout = seconds(1);
};

namespace detail {
    struct OutboundState;
    class OutboundConnection;
} // namespace detail

/** A request in progress. Destroying it before the answer is complete cancels it and closes its connection. */
class OutboundExchange {
public:
    explicit OutboundExchange(std::shared_ptr<detail::OutboundConnection>);
    ~OutboundExchange();
    OutboundExchange(const OutboundExchange&) = delete;
    OutboundExchange& operator=(const OutboundExchange&) = delete;

    /** Stops reading until resume(), so that TCP flow control slows the sender down to the receiver's pace. */
    void pause();
    void resume();
    /** Closes the connection once the answer is complete, instead of leaving it to later requests. */
    void closeAfterAnswer();
    /** Whether any byte of the request may have been sent. */
    bool sent() const;

private:
    std::shared_ptr<detail::OutboundConnection> m_connection;
    /** Identifies this exchange, since its connection may serve later ones. */
    std::uint64_t m_serial;
};

/** Counters of a pool since its start. */
struct OutboundCounts {
    std::uint64_t connects = 0;
    std::uint64_t connectFailures = 0;
    std::uint64_t reuses = 0;
    /** Final answers that did not belong to the request in progress. */
    std::uint64_t strayAnswers = 0;
    /** Connections that the kernel closed while bytes of a request might be unacknowledged; these may be delivered later. */
    std::uint64_t endedUnacknowledged = 0;
};

/** HTTP/1.1 client with a connection pool on one event loop. The most recently used idle connection is reused first. */
class OutboundPool {
public:
    /** @param memory account of what the connections hold, if there is one; it must outlive them */
    OutboundPool(boost::asio::io_context&, const Clock&, MemoryAccount* memory = nullptr);
    ~OutboundPool();
    OutboundPool(const OutboundPool&) = delete;
    OutboundPool& operator=(const OutboundPool&) = delete;

    /** Starts a request. The listener must outlive the exchange; it is never called before start() returns. */
    std::unique_ptr<OutboundExchange> start(OutboundRequest, OutboundListener&);
    /** Closes the idle connections with this pool key. */
    void closeIdle(const std::string& poolKey);
    /** Closes all idle connections. */
    void closeAllIdle();
    OutboundCounts counts() const;

private:
    std::shared_ptr<detail::OutboundState> m_state;
};

} // namespace yuccashift
