#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace yuccashift::detail {

/**
 * TCP keep-alive: idle time and probe interval in seconds, and the number of unanswered probes that closes the connection.
 * Callers wait a few seconds, so that a second probe would leave no time for another attempt.
 */
constexpr int keepAliveIdleS = 1;
constexpr int keepAliveIntervalS = 1;
constexpr int keepAliveProbes = 1;

/** Sets the times of keep-alive, without switching it on. Best effort: without them a request's time limit detects a silent peer. */
inline void setKeepAliveTimes(boost::asio::ip::tcp::socket& socket)
{
    const int fd = socket.native_handle();
    (void)::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleS, sizeof keepAliveIdleS);
    (void)::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalS, sizeof keepAliveIntervalS);
    (void)::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof keepAliveProbes);
}

/** Lets the kernel close the connection when keep-alive probes are not answered. It does so without a reset. */
inline boost::system::error_code setKeepAlive(boost::asio::ip::tcp::socket& socket, bool on)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::socket_base::keep_alive(on), ec);
    return ec;
}

} // namespace yuccashift::detail
