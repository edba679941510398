#pragma once

#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace yuccashift::detail {

/**
 * Opens and binds the acceptor and starts listening. Returns the bound endpoint,
 * with the port that the system assigned if port 0 was requested, or BadSettings
 * if the address is invalid or cannot be bound.
 */
Result<Endpoint> listenOn(boost::asio::ip::tcp::acceptor&, const Endpoint&);

} // namespace yuccashift::detail
