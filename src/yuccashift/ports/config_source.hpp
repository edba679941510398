#pragma once

#include "yuccashift/kernel/error.hpp"
#include "yuccashift/ports/listing.hpp"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace yuccashift {

/** Port to the platform's configuration service: read and watched, never written. */
class ConfigSource {
public:
    virtual ~ConfigSource();
    /** Costs one read. */
    virtual boost::asio::awaitable<Result<ConfigListing>> list() = 0;
    /** Text of one document. Costs one read. */
    virtual boost::asio::awaitable<Result<std::string>> read(ServiceName service) = 0;
    /** Waits until the index exceeds this one or the wait ends. Costs one read while it waits. */
    virtual boost::asio::awaitable<Result<ConfigListing>> watch(std::uint64_t index, Duration wait) = 0;
};

} // namespace yuccashift
