#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace yuccashift {

/** One entry instance as the answering instance sees it. */
struct EntryState {
    InstanceId instance;
    RegionName region;
    DatacentreName datacentre;
    Endpoint callers;
    bool draining = false;
    bool suspect = false;
    /** Relative capacity, such as its slots of connections. */
    double capacity = 1;
};

/** Who asks which instances to use. */
struct EntryRequest {
    /** Anything stable of the caller, such as its organisation and address. */
    std::string callerKey;
    /** Region of the instance that was asked. */
    RegionName region;
    DatacentreName datacentre;
    /** Regions that may serve the caller; empty means any. */
    std::vector<RegionName> allowedRegions;
    /** Instances in the answer at most. */
    std::size_t maxInstances = 3;
};

/** Chooses the entry instances that a caller should use, best first. Pure. */
class EntryPolicy {
public:
    virtual ~EntryPolicy();
    /** Indexes into the instances given. */
    virtual std::vector<std::size_t> rank(const EntryRequest&, std::span<const EntryState>) const = 0;
};

} // namespace yuccashift
