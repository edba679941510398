#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

namespace yuccashift::test {

/** Value of a socket option of this process' first connection to the endpoint; -1 if there is none. */
inline int socketOptionOfConnectionTo(const Endpoint& endpoint, int level, int option)
{
    constexpr int descriptors = 1024;
    for (int fd = 0; fd < descriptors; ++fd) {
        sockaddr_in peer {};
        socklen_t size = sizeof peer;
        if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0 || peer.sin_family != AF_INET || ntohs(peer.sin_port) != endpoint.port)
            continue;
        int value = -1;
        size = sizeof value;
        return ::getsockopt(fd, level, option, &value, &size) == 0 ? value : -1;
    }
    return -1;
}

} // namespace yuccashift::test
