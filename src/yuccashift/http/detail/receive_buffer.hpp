#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace yuccashift::detail {

/** Bytes that the kernel keeps at least for a receiver that has paused, and for one that reads again. */
constexpr int pausedReceiveBufferBytes = 16 * 1024;
constexpr int receiveBufferBytes = 128 * 1024;

/** Sets the size of the kernel's buffer, which no longer grows with the sender's pace from then on. Best effort. */
inline void setReceiveBuffer(boost::asio::ip::tcp::socket& socket, int bytes)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::receive_buffer_size(bytes), ignored);
}

} // namespace yuccashift::detail
