#pragma once

#include "yuccashift/kernel/error.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace yuccashift::wire {
class Frame;
} // namespace yuccashift::wire

namespace yuccashift {

/** Maximum size of a frame between instances, in bytes. A configuration document and its envelope fit. */
constexpr std::size_t maxFrameBytes = 8 << 20;
/** Maximum size of a frame of an instance that has not proved who it is. */
constexpr std::size_t maxHandshakeFrameBytes = 4 << 10;
/** Size of the big-endian length prefix of each frame, in bytes. */
constexpr std::size_t frameLengthBytes = 4;

/** Serialises a frame with its length prefix. */
std::string encodeFrame(const wire::Frame&);

/** Parses a frame from bytes without the length prefix. MalformedRequest if they are invalid. */
Result<wire::Frame> decodeFrame(std::span<const std::uint8_t>);

/** Reads the frame length from a prefix. MalformedRequest if it exceeds `maxBytes`. */
Result<std::size_t> decodeFrameLength(std::span<const std::uint8_t, frameLengthBytes>, std::size_t maxBytes = maxFrameBytes);

} // namespace yuccashift
