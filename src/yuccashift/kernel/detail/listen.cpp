#include "yuccashift/kernel/detail/listen.hpp"

namespace yuccashift::detail {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

Result<Endpoint> listenOn(tcp::acceptor& acceptor, const Endpoint& endpoint)
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(endpoint.host, ec);
    const tcp::endpoint local(address, endpoint.port);
    if (!ec)
        acceptor.open(local.protocol(), ec);
    if (!ec)
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(local, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return fail(ErrorKind::BadSettings, "cannot listen on " + toString(endpoint) + ": " + ec.message());
    return Endpoint { endpoint.host, acceptor.local_endpoint().port() };
}

} // namespace yuccashift::detail
