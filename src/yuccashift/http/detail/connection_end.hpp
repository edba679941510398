#pragma once

#include <poll.h>

namespace yuccashift::detail {

/** What the kernel has received of the end of a connection. */
enum class ConnectionEnd {
    None,
    /** The other end sends no more; it may still read. */
    SendingClosed,
    /** The connection is reset. */
    Reset,
};

/** Finds also an end that waits behind input that is not read yet. */
inline ConnectionEnd connectionEnd(int socket)
{
    pollfd state { socket, POLLRDHUP, 0 };
    if (::poll(&state, 1, 0) <= 0)
        return ConnectionEnd::None;
    if ((state.revents & (POLLHUP | POLLERR)) != 0)
        return ConnectionEnd::Reset;
    return (state.revents & POLLRDHUP) != 0 ? ConnectionEnd::SendingClosed : ConnectionEnd::None;
}

} // namespace yuccashift::detail
