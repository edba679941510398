#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace yuccashift {

/**
 * Accepts each stream of one incoming connection at most once, so that a
 * duplicated or late request frame never starts a request again, not even if
 * the first frame was refused. Streams are numbered from 1; since several
 * threads of the sender open streams, numbers may arrive slightly out of order.
 * Not thread safe.
 */
class StreamDeduplicator {
public:
    /** Returns whether the stream is new on the connection. A number below the window counts as a duplicate. */
    bool accept(std::int64_t stream);

    /** A new number must be less than this much below the highest accepted one. */
    static constexpr std::size_t window = 1024;

private:
    static std::size_t slotOf(std::int64_t stream) { return static_cast<std::size_t>(stream) % window; }

    std::int64_t m_highest = 0;
    /** Which of the last `window` numbers were accepted, by slotOf(). */
    std::bitset<window> m_accepted;
};

} // namespace yuccashift
