#pragma once

#include "yuccashift/kernel/error.hpp"
#include "yuccashift/ports/listing.hpp"

#include <boost/asio/awaitable.hpp>

namespace yuccashift {

/** Interface to the platform's list of running and leaving instances and backend servers. */
class InstanceList {
public:
    virtual ~InstanceList();
    virtual boost::asio::awaitable<Result<InstanceListing>> read() = 0;
};

} // namespace yuccashift
