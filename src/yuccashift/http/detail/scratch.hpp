#pragma once

#include <array>

namespace yuccashift::detail {

constexpr std::size_t scratchBytes = 32 * 1024;

/** Buffer into which a loop's thread reads before it copies what came; saves a buffer for each idle connection. */
inline std::array<char, scratchBytes>& scratch()
{
    thread_local std::array<char, scratchBytes> buf;
    return buf;
}

} // namespace yuccashift::detail
