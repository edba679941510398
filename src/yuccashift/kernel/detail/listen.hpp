#pragma once

#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace yuccashift::detail {

/** Binds the acceptor and listens; the endpoint in force, since port 0 picks one. BadSettings where it cannot be had. */
Result<Endpoint> listenOn(boost::asio::ip::tcp::acceptor&, const Endpoint&);

} // namespace yuccashift::detail
