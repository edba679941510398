#pragma once

#include "yuccashift/kernel/error.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace yuccashift {

/** Compresses bytes with deflate. */
std::string compress(std::string_view);
/**
 * Returns the bytes that compress() was given; MalformedRequest if the data is truncated or otherwise invalid.
 * There is no checksum: the caller relies on the transport for that.
 * @param size number of those bytes
 */
Result<std::string> decompress(std::string_view, std::size_t size);

} // namespace yuccashift
