#include "yuccashift/peer/codec.hpp"

#include "peer_types.h"
#include "yuccashift/peer/thrift_bytes.hpp"

#include <boost/endian/conversion.hpp>

namespace yuccashift {

std::string encodeFrame(const wire::Frame& frame)
{
    std::string bytes(frameLengthBytes, '\0');
    appendThrift(bytes, frame);
    const auto size = static_cast<std::uint32_t>(bytes.size() - frameLengthBytes);
    boost::endian::endian_store<std::uint32_t, frameLengthBytes, boost::endian::order::big>(reinterpret_cast<unsigned char*>(bytes.data()), size);
    return bytes;
}

Result<wire::Frame> decodeFrame(std::span<const std::uint8_t> bytes)
{
    return readThrift<wire::Frame>(bytes, maxFrameBytes);
}

Result<std::size_t> decodeFrameLength(std::span<const std::uint8_t, frameLengthBytes> prefix, std::size_t maxBytes)
{
    const auto size = boost::endian::endian_load<std::uint32_t, frameLengthBytes, boost::endian::order::big>(prefix.data());
    if (size > maxBytes)
        return fail(ErrorKind::MalformedRequest, "a frame over its bound");
    return size;
}

} // namespace yuccashift
