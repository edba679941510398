#pragma once

#include "yuccashift/http/memory_account.hpp"
#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace yuccashift {

/** Limits on a caller's requests and connections; sizes in bytes. */
struct InboundLimits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    /** Maximum time from the first byte of a request to the end of its header. */
    milliseconds headerTimeout { 3000 };
    /** Maximum time for which an open connection may stay without a request. */
    milliseconds idleTimeout { 15000 };
    /** Maximum time for which a caller may read nothing of an answer. */
    milliseconds sendTimeout { 30000 };
    /**
     * Maximum number of open connections. One more closes the one that has been idle for longest, or else refuses the
     * request that has been arriving for longest, or else is answered with 503 and closed.
     */
    std::size_t maxConnections = 3000;
};

namespace detail {
    class InboundSession;
} // namespace detail

/** One request on a caller's connection and its answer. Used only on the event loop's thread. */
class InboundExchange {
public:
    InboundExchange(std::shared_ptr<detail::InboundSession>, RequestMessage, Instant arrivedAt);

    RequestMessage& request() { return m_request; }
    Instant arrivedAt() const { return m_arrivedAt; }

    /** Queues status and headers, which are sent with the first body part or by finish(). Without a length the body is chunked, or ends with the connection for HTTP/1.0 callers. */
    void sendHead(const AnswerHead&);
    void sendBody(std::string_view);
    /** Completes the answer. */
    void finish();
    /** Sends a complete answer with its Content-Length. A length in the head stands if there is no body. */
    void sendComplete(AnswerHead, std::string_view body);
    /** Closes the connection, which marks an answer that has begun as incomplete. */
    void abort();

    bool headSent() const { return m_headSent; }
    /** Whether the caller has closed its connection. */
    bool callerDisconnected() const { return m_disconnected; }
    /** Asks the kernel whether the caller has closed its connection; runs the callback of onDisconnect() if so. */
    bool checkDisconnected();
    /** Bytes of the answer that have not yet been written to the socket. */
    std::size_t unsentBytes() const;

    /** Sets a callback that runs once if the connection closes before the answer is complete. */
    void onDisconnect(std::function<void()> callback) { m_onDisconnect = std::move(callback); }
    /** Sets a callback that runs whenever all pending bytes have been written to the socket. */
    void onDrained(std::function<void()> callback) { m_onDrained = std::move(callback); }

private:
    friend class detail::InboundSession;

    std::shared_ptr<detail::InboundSession> m_session;
    RequestMessage m_request;
    Instant m_arrivedAt;
    /** Whether the answer must not have a body, as one to a HEAD request. */
    bool m_bodiless;
    bool m_headSent = false;
    bool m_chunked = false;
    bool m_ended = false;
    bool m_disconnected = false;
    std::function<void()> m_onDisconnect;
    std::function<void()> m_onDrained;
};

/** Handles requests and supplies the limits for them. */
class InboundHandler {
public:
    virtual ~InboundHandler();
    virtual void onRequest(std::shared_ptr<InboundExchange>) = 0;
    /** Returns the current limits. */
    virtual InboundLimits limits() const = 0;
    /** Whether each connection is closed after its current answer. */
    virtual bool shouldCloseConnections() const = 0;
    /** Completes the head of an answer to a request that is refused before onRequest(). */
    virtual void onRefusal(const Error&, AnswerHead&) const { }
    /** Whether a caller that is silent during a request is taken to have disconnected. */
    virtual bool probesSilentCallers() const { return false; }
};

/** HTTP/1.1 server that runs on the given event loop and starts no thread. */
class InboundServer {
public:
    /** @param memory account of what the connections hold; it must outlive them */
    InboundServer(boost::asio::io_context&, const Clock&, InboundHandler&, MemoryAccount& memory);
    ~InboundServer();
    InboundServer(const InboundServer&) = delete;
    InboundServer& operator=(const InboundServer&) = delete;

    /** Starts to accept connections and returns the bound endpoint, in which port 0 is replaced. BadSettings if it cannot be bound. */
    Result<Endpoint> listen(const Endpoint&);
    /** Stops accepting connections and closes idle ones. */
    void stop();
    std::size_t connections() const;
    /** Whether bytes of an answer wait for a caller that reads slowly. */
    bool hasUnsentBytes() const;

private:
    friend class detail::InboundSession;
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace yuccashift
