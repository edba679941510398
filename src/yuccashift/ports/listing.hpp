#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <vector>

namespace yuccashift {

/** An instance as the platform lists it; the list lags behind the actual state. */
struct ListedInstance {
    InstanceId instance;
    RegionName region;
    DatacentreName datacentre;
    Endpoint callerEndpoint;
    Endpoint peerEndpoint;
    bool leaving = false;
};

/** A backend server's state as the platform lists it. */
struct ListedBackend {
    ServiceName service;
    BackendName backend;
    bool leaving = false;
};

/** The platform's list of instances and backend servers. */
struct InstanceListing {
    std::vector<ListedInstance> instances;
    std::vector<ListedBackend> backends;
};

/** Revision of one published document, without its text. */
struct PublishedRevision {
    ServiceName service;
    Revision revision = 0;
};

/** The documents that the configuration service publishes at one point in time. */
struct ConfigListing {
    /** Increases with each change; passed to ConfigSource::watch(). */
    std::uint64_t index = 0;
    std::vector<PublishedRevision> documents;
};

} // namespace yuccashift
