#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace yuccashift::detail {

/**
 * Lets every close of the socket reset the connection and drop what is unsent
 * or unacknowledged, also a close by the end of the process. After an orderly
 * close, the kernel delivers it later, for example once a broken link is back.
 */
inline boost::system::error_code setResetOnClose(boost::asio::ip::tcp::socket& socket, bool reset = true)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::socket_base::linger(reset, 0), ec);
    return ec;
}

} // namespace yuccashift::detail
