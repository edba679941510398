#include "yuccashift/peer/codec.hpp"

#include "peer_types.h"

#include <boost/endian/conversion.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace yuccashift {

namespace {

    using apache::thrift::TConfiguration;
    using apache::thrift::TException;
    using apache::thrift::protocol::TCompactProtocolT;
    using apache::thrift::transport::TMemoryBuffer;

} // namespace

std::string encodeFrame(const wire::Frame& frame)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    frame.write(&protocol);
    std::uint8_t* data = nullptr;
    std::uint32_t size = 0;
    buffer->getBuffer(&data, &size);
    std::string bytes(frameLengthBytes + size, '\0');
    boost::endian::endian_store<std::uint32_t, frameLengthBytes, boost::endian::order::big>(reinterpret_cast<unsigned char*>(bytes.data()), size);
    std::copy_n(data, size, bytes.begin() + frameLengthBytes);
    return bytes;
}

Result<wire::Frame> decodeFrame(std::span<const std::uint8_t> bytes)
{
    // The transport only reads in OBSERVE mode; its interface has no const variant.
    auto* data = const_cast<std::uint8_t*>(bytes.data());
    const auto config = std::make_shared<TConfiguration>(maxFrameBytes, maxFrameBytes);
    const auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE, config);
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    try {
        wire::Frame frame;
        frame.read(&protocol);
        return frame;
    } catch (const TException& e) {
        return fail(ErrorKind::MalformedRequest, e.what());
    } catch (const std::exception&) {
        return fail(ErrorKind::MalformedRequest, "a frame larger than its bytes");
    }
}

Result<std::size_t> decodeFrameLength(std::span<const std::uint8_t, frameLengthBytes> prefix)
{
    const auto size = boost::endian::endian_load<std::uint32_t, frameLengthBytes, boost::endian::order::big>(prefix.data());
    if (size > maxFrameBytes)
        return fail(ErrorKind::MalformedRequest, "a frame over its bound");
    return size;
}

} // namespace yuccashift
