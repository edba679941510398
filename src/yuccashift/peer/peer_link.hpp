#pragma once

#include "yuccashift/http/answer_sink.hpp"
#include "yuccashift/http/incoming_answer.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/peer/handshake.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace yuccashift::wire {
class Forward;
class Frame;
} // namespace yuccashift::wire

namespace yuccashift {

/** Receives the frames and requests that arrive over links. Called on the link's event loop. */
class PeerHandler {
public:
    virtual ~PeerHandler();
    /** Called for a control frame, that is, a frame of no stream, other than Ping and Pong. */
    virtual void onControl(const PeerIdentity& from, const wire::Frame&) = 0;
    /** Executes a request of another instance and writes its answer to the sink. */
    virtual boost::asio::awaitable<void> onForward(PeerIdentity from, wire::Forward, AnswerSink&) = 0;
};

/** Identity, shared key and timeouts of links. */
struct LinkSettings {
    PeerIdentity self;
    std::string key;
    Duration pingInterval = seconds(1);
    /** A link that receives no frame for this time is closed. */
    Duration idleTimeout = seconds(3);
};

/**
 * One authenticated connection between two instances. One coroutine writes
 * all frames, in the order in which they were queued. Requests and their
 * answers are multiplexed as streams.
 */
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    PeerLink(boost::asio::ip::tcp::socket, LinkSettings, PeerHandler&, const Clock&);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /** Authenticates both ends. Returns the identity of the other end; Unauthenticated if its proof is wrong, PeerLost if the connection fails. */
    boost::asio::awaitable<Result<PeerIdentity>> handshake(LinkEnd);
    /** Reads and writes until the link fails or close() is called. */
    boost::asio::awaitable<void> run();
    /** Queues a frame. Returns false if the queue is full or the link is closed. Thread-safe. */
    bool send(const wire::Frame&);
    /** Sends a request and waits until the head of its answer arrives. May be called on any event loop. */
    boost::asio::awaitable<Result<std::unique_ptr<IncomingAnswer>>> forward(wire::Forward, Instant deadline);
    /** Closes the link asynchronously. Thread-safe. */
    void close();

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace yuccashift
