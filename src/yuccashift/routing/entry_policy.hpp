#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace yuccashift {

/** State of an entry instance as known to the instance that answers. */
struct EntryState {
    InstanceId instance;
    RegionName region;
    DatacentreName datacentre;
    Endpoint callers;
    bool draining = false;
    bool suspect = false;
    /** Relative capacity, such as its number of connection slots. */
    double capacity = 1;
};

/** A request for the entry instances that a caller should use. */
struct EntryRequest {
    /** Stable identity of the caller, such as its organisation and address. */
    std::string callerKey;
    /** Region of the instance that received the request. */
    RegionName region;
    DatacentreName datacentre;
    /** Regions that may serve the caller; if empty, all may. */
    std::vector<RegionName> allowedRegions;
    /** Maximum number of instances in the answer. */
    std::size_t maxInstances = 3;
};

/** Chooses the entry instances that a caller should use, best first. The result depends on the arguments only. */
class EntryPolicy {
public:
    virtual ~EntryPolicy();
    /** Indexes into the given instances, at most EntryRequest::maxInstances of them, best first. */
    virtual std::vector<std::size_t> rank(const EntryRequest&, std::span<const EntryState>) const = 0;
};

} // namespace yuccashift
