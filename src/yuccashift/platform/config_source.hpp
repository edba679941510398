#pragma once

#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace yuccashift {

/** Revision of one published document, without its text. */
struct PublishedRevision {
    ServiceName service;
    Revision revision = 0;
};

/** What the configuration service publishes at one moment. */
struct ConfigListing {
    /** Grows with each change; passed to watch(). */
    std::uint64_t index = 0;
    std::vector<PublishedRevision> documents;
};

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
