#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <linux/sockios.h>
#include <optional>
#include <sys/ioctl.h>

namespace yuccashift::detail {

/**
 * Time after which the bytes of a request that are not acknowledged are looked at, and the time after which the
 * connection is reset if still the same number is not.
 */
constexpr Duration acknowledgementTimeout = milliseconds(1500);
constexpr Duration acknowledgementProgressTimeout = milliseconds(300);

/** Bytes that were sent and are not acknowledged; std::nullopt if the system does not tell. */
inline std::optional<int> unacknowledgedBytes(boost::asio::ip::tcp::socket& socket)
{
    int n = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &n) != 0)
        return {};
    return n;
}

} // namespace yuccashift::detail
