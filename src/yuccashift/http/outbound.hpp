#pragma once

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

/** How far an exchange had come when it failed. */
enum class OutboundFailure {
    /** No byte of the request was written, so that it cannot have run. */
    NotSent,
    /** The request was written, in part at least, and no complete answer came. */
    Lost,
    /** The connection ended after the head of the answer. */
    Truncated,
};

std::string_view toString(OutboundFailure);

/** Receives one answer: a head, any number of body parts, then its end; or a failure instead of the rest. */
class OutboundListener {
public:
    virtual ~OutboundListener();
    virtual void onAnswerHead(const AnswerHead&) = 0;
    virtual void onAnswerBody(std::string_view) = 0;
    virtual void onAnswerEnd() = 0;
    virtual void onAnswerFailure(OutboundFailure, std::string_view reason) = 0;
};

/** One request to another process. */
struct OutboundRequest {
    Endpoint endpoint;
    /** Separates connections to the same address, such as those to an earlier server there. */
    std::string poolKey;
    /** Request line, headers and body as they go out. */
    std::string bytes;
    /** Whether the head of an answer is the one to this request; others are read and dropped. */
    std::function<bool(const AnswerHead&)> matchesRequest;
    /** Idle connections older than this are not used; zero asks for a fresh connection. */
    Duration maxIdleAge = seconds(60);
    Duration connectTimeout = seconds(1);
};

namespace detail {
    struct OutboundState;
    class OutboundConnection;
} // namespace detail

/** A request in progress. Destroying it cancels the exchange and closes its connection. */
class OutboundExchange {
public:
    explicit OutboundExchange(std::shared_ptr<detail::OutboundConnection>);
    ~OutboundExchange();
    OutboundExchange(const OutboundExchange&) = delete;
    OutboundExchange& operator=(const OutboundExchange&) = delete;

    /** Stops reading until resume(), so that a slow receiver slows its sender down. */
    void pause();
    void resume();
    /** Whether a byte of the request may have left. */
    bool sent() const;

private:
    std::shared_ptr<detail::OutboundConnection> m_connection;
    /** Which of the connection's exchanges this is. */
    std::uint64_t m_serial;
};

/** Counts of a pool since its start. */
struct OutboundCounts {
    std::uint64_t connects = 0;
    std::uint64_t connectFailures = 0;
    std::uint64_t reuses = 0;
    /** Answers that belonged to no request. */
    std::uint64_t strayAnswers = 0;
};

/** HTTP/1.1 client on one event loop with kept connections, newest first. */
class OutboundPool {
public:
    OutboundPool(boost::asio::io_context&, const Clock&);
    ~OutboundPool();
    OutboundPool(const OutboundPool&) = delete;
    OutboundPool& operator=(const OutboundPool&) = delete;

    /** Starts a request. The listener outlives the exchange and is not called from here. */
    std::unique_ptr<OutboundExchange> start(OutboundRequest, OutboundListener&);
    /** Closes the idle connections of a pool key. */
    void closeIdle(const std::string& poolKey);
    /** Closes all idle connections. */
    void closeAllIdle();
    OutboundCounts counts() const;

private:
    std::shared_ptr<detail::OutboundState> m_state;
};

} // namespace yuccashift
