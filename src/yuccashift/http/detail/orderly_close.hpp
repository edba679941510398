#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace yuccashift::detail {

/** Whether the peer is known to have closed its side after its last byte, rather than to have reset the connection. */
inline bool isClosedInOrder(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_state == TCP_CLOSE_WAIT;
}

} // namespace yuccashift::detail
