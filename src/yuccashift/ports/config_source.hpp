#pragma once

#include "yuccashift/kernel/error.hpp"
#include "yuccashift/ports/listing.hpp"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace yuccashift {

/** Interface to the platform's configuration service, which the gateway reads and watches but never writes. */
class ConfigSource {
public:
    virtual ~ConfigSource();
    /** Returns the published documents without their texts. Counts as one read of the service. */
    virtual boost::asio::awaitable<Result<ConfigListing>> list() = 0;
    /** Returns the text of one document. Counts as one read of the service. */
    virtual boost::asio::awaitable<Result<std::string>> read(ServiceName service) = 0;
    /** Returns the listing once its index exceeds `index` or after `wait`. Counts as one read of the service for as long as it waits. */
    virtual boost::asio::awaitable<Result<ConfigListing>> watch(std::uint64_t index, Duration wait) = 0;
};

} // namespace yuccashift
