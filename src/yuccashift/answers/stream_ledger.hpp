#pragma once

#include "yuccashift/kernel/error.hpp"

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace yuccashift {

/** Counts the connections of one link; a reconnect has a larger number. */
using ConnectionNumber = std::uint64_t;

/** One stream of one connection. Never used for a second answer. */
struct StreamId {
    ConnectionNumber connection = 0;
    std::int64_t stream = 0;

    bool operator==(const StreamId&) const = default;
    bool operator<(const StreamId& other) const { return std::tie(connection, stream) < std::tie(other.connection, other.stream); }
};

/** What to do with a frame that is not an error. */
enum class FrameUse {
    Deliver,
    /** Late or doubled: it belongs to nobody any more. */
    Drop,
};

/**
 * Binds the frames of answers to the requests that asked for them, on one
 * link between instances. An answer is whole only if its head came first,
 * its chunks followed at exact offsets, and its end mark names its length.
 *
 * Every error closes its stream, so one answer fails at most once. Not thread
 * safe: use it where the frames of the link are handled.
 */
class StreamLedger {
public:
    /** Starts a new connection; returns the streams that the old one left unfinished. */
    std::vector<StreamId> reconnect();

    /** Opens a stream on the present connection. */
    StreamId open();

    /** Forgets a stream; whatever still arrives for it is dropped. */
    void close(StreamId);

    /** AnswerIncomplete for a second head. */
    Result<FrameUse> onHead(StreamId);

    /** AnswerIncomplete for a chunk before the head, past a gap, or across what was delivered. */
    Result<FrameUse> onChunk(StreamId, std::uint64_t offset, std::uint64_t size);

    /** The answer is whole where this delivers. AnswerIncomplete where bytes are missing. */
    Result<FrameUse> onEnd(StreamId, std::uint64_t length);

    bool isOpen(StreamId) const;
    /** Bytes of the body delivered so far; 0 for a stream that is not open. */
    std::uint64_t delivered(StreamId) const;
    std::size_t openCount() const { return m_streams.size(); }

private:
    struct Answer {
        bool hasHead = false;
        std::uint64_t delivered = 0;
    };

    tl::unexpected<Error> giveUp(StreamId, std::string detail);

    ConnectionNumber m_connection = 1;
    std::int64_t m_nextStream = 1;
    std::map<StreamId, Answer> m_streams;
};

} // namespace yuccashift
