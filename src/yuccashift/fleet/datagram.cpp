#include "yuccashift/fleet/datagram.hpp"

#include "yuccashift/peer/thrift_bytes.hpp"

namespace yuccashift {

namespace {

    // Limit on a decoded message in bytes; large enough for a configuration of a megabyte and thousands of servers.
    constexpr int maxMessageBytes = 16 << 20;

    template <typename Message>
    std::string encode(const Message& message)
    {
        std::string bytes;
        appendThrift(bytes, message);
        return bytes;
    }

    template <typename Message>
    Result<Message> decode(std::string_view bytes)
    {
        return readThrift<Message>({ reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size() }, maxMessageBytes);
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

std::string encodeItemValue(const fleetwire::ItemValue& value)
{
    return encode(value);
}

Result<fleetwire::Datagram> decodeDatagram(std::string_view bytes)
{
    return decode<fleetwire::Datagram>(bytes);
}

Result<fleetwire::Snapshot> decodeSnapshot(std::string_view bytes)
{
    return decode<fleetwire::Snapshot>(bytes);
}

Result<fleetwire::ItemValue> decodeItemValue(std::string_view bytes)
{
    return decode<fleetwire::ItemValue>(bytes);
}

} // namespace yuccashift
