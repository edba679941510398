#pragma once

#include "yuccashift/kernel/error.hpp"

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace yuccashift {

/** Number of a connection between two instances; every reconnect increments it. */
using ConnectionNumber = std::uint64_t;

/** Identifies a stream of a connection. It is never reused for another answer. */
struct StreamId {
    ConnectionNumber connection = 0;
    std::int64_t stream = 0;

    bool operator==(const StreamId&) const = default;
    bool operator<(const StreamId& other) const { return std::tie(connection, stream) < std::tie(other.connection, other.stream); }
};

/** What the receiver does with a valid frame. */
enum class FrameAction {
    Deliver,
    /** The frame is a duplicate, or its stream is no longer open. */
    Drop,
};

/**
 * Matches incoming answer frames to the open requests of one link between two
 * instances. An answer is complete only if its head came first, its chunks
 * followed at contiguous offsets, and its end mark states its length.
 *
 * Every error closes its stream, so that an answer fails at most once. Not
 * thread safe: to be used only by the code that handles the link's frames.
 */
class AnswerStreamTracker {
public:
    /** Switches to a new connection, closes all streams of the old one and returns them. */
    std::vector<StreamId> reconnect();

    /** Opens a stream on the current connection. */
    StreamId open();

    /** Closes a stream; frames that still arrive for it are dropped. */
    void close(StreamId);

    /** Fails with AnswerIncomplete for a second head. */
    Result<FrameAction> onHead(StreamId);

    /**
     * Fails with AnswerIncomplete for a chunk before the head, after a gap, or
     * partly within the delivered bytes.
     *
     * @param offset position of the chunk's first byte in the body
     * @param size length of the chunk in bytes
     */
    Result<FrameAction> onChunk(StreamId, std::uint64_t offset, std::uint64_t size);

    /** Deliver means that the answer is complete. Fails with AnswerIncomplete if the delivered bytes are not `length`. */
    Result<FrameAction> onEnd(StreamId, std::uint64_t length);

    bool isOpen(StreamId) const;
    /** Number of body bytes delivered so far; 0 if the stream is not open. */
    std::uint64_t deliveredBytes(StreamId) const;
    std::size_t openCount() const { return m_streams.size(); }

private:
    struct Answer {
        bool hasHead = false;
        std::uint64_t delivered = 0;
    };

    tl::unexpected<Error> closeWithError(StreamId, std::string detail);

    ConnectionNumber m_connection = 1;
    std::int64_t m_nextStream = 1;
    std::map<StreamId, Answer> m_streams;
};

} // namespace yuccashift
