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

/** What a link hands up. Called on the link's loop. */
class PeerHandler {
public:
    virtual ~PeerHandler();
    /** A control frame, which belongs to no stream. */
    virtual void onControl(const PeerIdentity& from, const wire::Frame&) = 0;
    /** A request to execute here. */
    virtual boost::asio::awaitable<void> onForward(PeerIdentity from, wire::Forward, AnswerSink&) = 0;
};

/** Limits and secrets of links. */
struct LinkSettings {
    PeerIdentity self;
    std::string key;
    Duration pingInterval = seconds(1);
    /** Time without any frame before a link is given up. */
    Duration silenceTimeout = seconds(3);
};

/**
 * One authenticated connection between two instances. Frames are written in
 * order by one coroutine; streams multiplex answers over it.
 */
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    PeerLink(boost::asio::ip::tcp::socket, LinkSettings, PeerHandler&, const Clock&);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /** Proves both ends; the other's identity, or Unauthenticated. */
    boost::asio::awaitable<Result<PeerIdentity>> handshake(LinkEnd);
    /** Reads and writes until the link fails or close() is called. */
    boost::asio::awaitable<void> run();
    /** Queues a frame; false where the queue is full or the link is closed. Any thread. */
    bool send(const wire::Frame&);
    /** Sends a request and waits for the head of its answer. Any loop. */
    boost::asio::awaitable<Result<std::unique_ptr<IncomingAnswer>>> forward(wire::Forward, Instant deadline);
    /** Any thread. */
    void close();

    struct State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace yuccashift
