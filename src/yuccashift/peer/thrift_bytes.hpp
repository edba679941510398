#pragma once

#include "yuccashift/kernel/error.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace yuccashift {

/** Appends a Thrift message in the compact protocol. */
template <typename Message>
void appendThrift(std::string& out, const Message& message)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    std::uint8_t* data = nullptr;
    std::uint32_t size = 0;
    buffer->getBuffer(&data, &size);
    out.append(reinterpret_cast<const char*>(data), size);
}

/** Parses a message in the compact protocol. MalformedRequest if the bytes are invalid, or if the message or a field of it claims more than `maxBytes`. */
template <typename Message>
Result<Message> readThrift(std::span<const std::uint8_t> bytes, int maxBytes)
{
    using apache::thrift::transport::TMemoryBuffer;
    // The transport does not write in OBSERVE mode, but its interface has no const variant.
    auto* data = const_cast<std::uint8_t*>(bytes.data());
    const auto config = std::make_shared<apache::thrift::TConfiguration>(maxBytes, maxBytes);
    const auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE, config);
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    try {
        Message message;
        message.read(&protocol);
        return message;
    } catch (const apache::thrift::TException& e) {
        return fail(ErrorKind::MalformedRequest, e.what());
    } catch (const std::exception&) {
        return fail(ErrorKind::MalformedRequest, "a message larger than its bytes");
    }
}

} // namespace yuccashift
