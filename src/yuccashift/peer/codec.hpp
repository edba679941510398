#pragma once

#include "yuccashift/kernel/error.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace yuccashift::wire {
class Frame;
} // namespace yuccashift::wire

namespace yuccashift {

/** Largest frame between instances, in bytes; a document and its envelope fit. */
constexpr std::size_t maxFrameBytes = 8 << 20;
/** Bytes of the big-endian length before each frame. */
constexpr std::size_t frameLengthBytes = 4;

/** The frame with its length prefix, ready for a socket. */
std::string encodeFrame(const wire::Frame&);

/** The frame in these bytes, without its length prefix. MalformedRequest on damage. */
Result<wire::Frame> decodeFrame(std::span<const std::uint8_t>);

/** Length from a prefix; MalformedRequest over the bound. */
Result<std::size_t> decodeFrameLength(std::span<const std::uint8_t, frameLengthBytes>);

} // namespace yuccashift
