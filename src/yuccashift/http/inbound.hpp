#pragma once

#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace yuccashift {

/** What a caller may send and how long it may take. */
struct InboundLimits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    /** From the first byte of a request to the end of its header. */
    milliseconds headerTimeout { 3000 };
    /** Longest time without a request on an open connection. */
    milliseconds idleTimeout { 15000 };
    /** Connections beyond this are answered with 503 and closed. */
    std::size_t maxConnections = 3000;
};

namespace detail {
    class InboundSession;
} // namespace detail

/** One request on a caller's connection and the answer to it. Belongs to the thread of the event loop. */
class InboundExchange {
public:
    InboundExchange(std::shared_ptr<detail::InboundSession>, RequestMessage, Instant arrivedAt);

    RequestMessage& request() { return m_request; }
    Instant arrivedAt() const { return m_arrivedAt; }

    /** Sends status and headers; a head without a length is followed by a chunked body. */
    void sendHead(const AnswerHead&);
    void sendBody(std::string_view);
    /** Ends a complete answer. */
    void finish();
    /** Sends a whole answer with its length. */
    void sendComplete(AnswerHead, std::string_view body);
    /** Closes the connection, so that an answer that has begun is seen to be incomplete. */
    void abort();

    bool headSent() const { return m_headSent; }
    /** Whether the caller has closed its connection. */
    bool callerDisconnected() const { return m_gone; }
    /** Bytes of the answer that the caller's socket has not taken yet. */
    std::size_t unsentBytes() const;

    /** Called once when the caller closes its connection before the answer is complete. */
    void onDisconnect(std::function<void()> callback) { m_onGone = std::move(callback); }
    /** Called whenever everything sent so far has left for the caller. */
    void onDrained(std::function<void()> callback) { m_onDrained = std::move(callback); }

private:
    friend class detail::InboundSession;

    std::shared_ptr<detail::InboundSession> m_session;
    RequestMessage m_request;
    Instant m_arrivedAt;
    bool m_headSent = false;
    bool m_chunked = false;
    bool m_ended = false;
    bool m_gone = false;
    std::function<void()> m_onGone;
    std::function<void()> m_onDrained;
};

/** Takes requests and says under which limits. */
class InboundHandler {
public:
    virtual ~InboundHandler();
    virtual void onRequest(std::shared_ptr<InboundExchange>) = 0;
    /** The limits in force now. */
    virtual InboundLimits limits() const = 0;
    /** Whether answers are to end their connections. */
    virtual bool shouldCloseConnections() const = 0;
};

/** HTTP/1.1 listener on one event loop, without a thread of its own. */
class InboundServer {
public:
    InboundServer(boost::asio::io_context&, const Clock&, InboundHandler&);
    ~InboundServer();
    InboundServer(const InboundServer&) = delete;
    InboundServer& operator=(const InboundServer&) = delete;

    /** Binds and accepts; the endpoint in force. BadSettings where it cannot be had. */
    Result<Endpoint> listen(const Endpoint&);
    /** Takes no new connections and closes those without a request. */
    void stop();
    std::size_t connections() const;

private:
    friend class detail::InboundSession;
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace yuccashift
