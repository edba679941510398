#pragma once

#include <cstdint>

namespace yuccashift {

/**
 * The executing side of one connection: takes each stream at most once, so
 * that a doubled or late request frame never starts work again, not even after
 * the first one was refused. Streams are numbered in the order of sending.
 */
class StreamIntake {
public:
    /** Whether this request is new on the connection; a number below an earlier one is not. */
    bool accept(std::int64_t stream);

private:
    std::int64_t m_highest = 0;
};

} // namespace yuccashift
