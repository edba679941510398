#pragma once

#include <array>

namespace yuccashift::detail {

constexpr std::size_t scratchBytes = 32 * 1024;

/** Returns the calling thread's read buffer, from which sessions copy what they received. Shared, so that idle connections hold no buffer. */
inline std::array<char, scratchBytes>& scratch()
{
    thread_local std::array<char, scratchBytes> buf;
    return buf;
}

} // namespace yuccashift::detail
