#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace yuccashift {

/**
 * The executing side of one connection: takes each stream at most once, so
 * that a doubled or late request frame never starts work again, not even after
 * the first one was refused. Streams are numbered from 1; several threads may
 * send theirs a little out of order. Not thread safe.
 */
class StreamIntake {
public:
    /** Whether this request is new on the connection; one that comes too late counts as old. */
    bool accept(std::int64_t stream);

    /** How far below the highest number a new one may lie. */
    static constexpr std::size_t window = 1024;

private:
    static std::size_t slotOf(std::int64_t stream) { return static_cast<std::size_t>(stream) % window; }

    std::int64_t m_highest = 0;
    /** Numbers taken among the last `window` ones. */
    std::bitset<window> m_taken;
};

} // namespace yuccashift
