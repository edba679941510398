#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <vector>

namespace yuccashift {

/** An instance as the platform lists it; the list lags behind reality. */
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

struct InstanceListing {
    std::vector<ListedInstance> instances;
    std::vector<ListedBackend> backends;
};

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

} // namespace yuccashift
