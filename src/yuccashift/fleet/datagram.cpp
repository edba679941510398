#include "yuccashift/fleet/datagram.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace yuccashift {

namespace {

    using apache::thrift::TConfiguration;
    using apache::thrift::TException;
    using apache::thrift::protocol::TCompactProtocolT;
    using apache::thrift::transport::TMemoryBuffer;

    /** Bound on a snapshot, in bytes: a configuration of a megabyte and thousands of servers fit. */
    constexpr int mostSnapshotBytes = 16 << 20;

    template <typename Message>
    std::string encode(const Message& message)
    {
        const auto buffer = std::make_shared<TMemoryBuffer>();
        TCompactProtocolT<TMemoryBuffer> protocol(buffer);
        message.write(&protocol);
        return buffer->getBufferAsString();
    }

    template <typename Message>
    Result<Message> decode(std::string_view bytes)
    {
        // The transport only reads in OBSERVE mode; its interface has no const variant.
        auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
        const auto config = std::make_shared<TConfiguration>(mostSnapshotBytes, mostSnapshotBytes);
        const auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE, config);
        TCompactProtocolT<TMemoryBuffer> protocol(buffer);
        try {
            Message message;
            message.read(&protocol);
            return message;
        } catch (const TException& e) {
            return fail(ErrorKind::MalformedRequest, e.what());
        } catch (const std::exception&) {
            return fail(ErrorKind::MalformedRequest, "a message larger than its bytes");
        }
    }

} // namespace

std::string encodeDatagram(const fleetwire::Datagram& datagram)
{
    return encode(datagram);
}

std::string encodeSnapshot(const fleetwire::Snapshot& snapshot)
{
    return encode(snapshot);
}

Result<fleetwire::Datagram> decodeDatagram(std::string_view bytes)
{
    return decode<fleetwire::Datagram>(bytes);
}

Result<fleetwire::Snapshot> decodeSnapshot(std::string_view bytes)
{
    return decode<fleetwire::Snapshot>(bytes);
}

} // namespace yuccashift
