#pragma once

#include "yuccashift/kernel/error.hpp"
#include "yuccashift/ports/listing.hpp"

#include <boost/asio/awaitable.hpp>

namespace yuccashift {

/** Port to the platform's list of live and leaving instances. */
class InstanceList {
public:
    virtual ~InstanceList();
    virtual boost::asio::awaitable<Result<InstanceListing>> read() = 0;
};

} // namespace yuccashift
