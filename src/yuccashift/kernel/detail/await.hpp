#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace yuccashift::detail {

/** Completion token that returns the error code as a value instead of throwing it. */
constexpr auto awaitTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace yuccashift::detail
