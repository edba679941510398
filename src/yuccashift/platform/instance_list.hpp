#pragma once

#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <boost/asio/awaitable.hpp>
#include <vector>

namespace yuccashift {

/** An instance as the platform lists it; the list lags behind reality. */
struct ListedInstance {
    InstanceId instance;
    RegionName region;
    DatacentreName datacentre;
    Endpoint callers;
    Endpoint peers;
    bool leaving = false;
};

/** A backend server's state as the platform lists it. */
struct ListedBackend {
    ServiceName service;
    BackendName backend;
    bool leaving = false;
};

struct Listing {
    std::vector<ListedInstance> instances;
    std::vector<ListedBackend> backends;
};

/** Port to the platform's list of live and leaving instances. */
class InstanceList {
public:
    virtual ~InstanceList();
    virtual boost::asio::awaitable<Result<Listing>> read() = 0;
};

} // namespace yuccashift
