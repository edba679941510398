#pragma once

#include "yuccashift/fleet/item_replica.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace yuccashift {

/** Told what a source of published items finds. */
class StoreListener {
public:
    virtual ~StoreListener();
    /** Changes in the order of their revisions; nothing up to `through` is missing. */
    virtual void onChanges(const std::vector<ItemChange>&, std::int64_t through) = 0;
    /** All items; complete up to `through`. */
    virtual void onListing(const std::vector<ItemChange>&, std::int64_t through) = 0;
    /** The source cannot be read, or can be read again. */
    virtual void onReachable(bool reachable, std::string_view reason) = 0;
};

/** Reads what the platform publishes, first whole and then as it changes. */
class StoreReader {
public:
    virtual ~StoreReader();
    /** Reads from now on; the listener outlives the store. */
    virtual void start(StoreListener&) = 0;
    /** Reads everything again, since what was read may be old. */
    virtual void resync() = 0;
    /** Whether to wait for changes, or to ask now and then since others pass them on. */
    virtual void setWatching(bool) = 0;
    /** Calls made since the start. */
    virtual std::uint64_t callCount() const = 0;
};

} // namespace yuccashift
