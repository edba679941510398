#pragma once

#include "peer_types.h"
#include "yuccashift/answers/stream_deduplicator.hpp"
#include "yuccashift/kernel/cancellation.hpp"
#include "yuccashift/peer/peer_link.hpp"

#include <atomic>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <mutex>
#include <unordered_map>

namespace yuccashift {

namespace detail {

    /** Maximum number of frames that wait to be written to a link. */
    constexpr std::size_t maxOutgoingFrames = 4096;

    using FrameChannel = boost::asio::experimental::concurrent_channel<void(boost::system::error_code, std::shared_ptr<wire::Frame>)>;
    using BytesChannel = boost::asio::experimental::concurrent_channel<void(boost::system::error_code, std::string)>;

} // namespace detail

/** State shared by the reader, the writer and the streams of a link. */
struct PeerLink::State : std::enable_shared_from_this<PeerLink::State> {
    State(boost::asio::ip::tcp::socket socket, LinkSettings linkSettings, PeerHandler& peerHandler, const Clock& linkClock)
        : stream(std::move(socket))
        , outgoing(stream.get_executor(), detail::maxOutgoingFrames)
        , settings(std::move(linkSettings))
        , handler(peerHandler)
        , clock(linkClock)
    {
    }

    boost::asio::awaitable<Result<wire::Frame>> readFrame();
    boost::asio::awaitable<Result<wire::Hello>> readHello();
    boost::asio::awaitable<bool> writeHello(const wire::Hello&);
    boost::asio::awaitable<Result<PeerIdentity>> dial(wire::Hello mine);
    boost::asio::awaitable<Result<PeerIdentity>> listen(wire::Hello mine);
    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<void> writeLoop();
    boost::asio::awaitable<void> pingLoop();
    boost::asio::awaitable<void> execute(std::int64_t stream, wire::Forward);
    void dispatch(wire::Frame&&);
    void deliver(wire::Frame&&);
    bool queue(std::string bytes);
    void shutDown();
    std::int64_t openStream(const std::shared_ptr<detail::FrameChannel>&);
    void closeStream(std::int64_t stream, bool cancel);
    /** Ends the execution of a request that its origin has given up. */
    void cancelExecution(std::int64_t stream);
    bool isCancelled(std::int64_t stream);

    boost::beast::tcp_stream stream;
    detail::BytesChannel outgoing;
    LinkSettings settings;
    PeerHandler& handler;
    const Clock& clock;
    PeerIdentity peerIdentity;
    /** Whether the other end has proved who it is. */
    bool authenticated = false;
    std::atomic<bool> closed { false };
    std::vector<std::uint8_t> buffer;
    // Protects the members below: channels of answers that are awaited here, and
    // streams that are executed here and were not cancelled by their origin.
    std::mutex mutex;
    std::int64_t lastStream = 0;
    std::unordered_map<std::int64_t, std::shared_ptr<detail::FrameChannel>> pendingAnswers;
    std::unordered_map<std::int64_t, std::shared_ptr<Canceller>> executingStreams;
    StreamDeduplicator streamDeduplicator;
};

} // namespace yuccashift
