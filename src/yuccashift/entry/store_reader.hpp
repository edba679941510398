#pragma once

#include "yuccashift/fleet/item_replica.hpp"
#include "yuccashift/kernel/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace yuccashift {

/** Receives the items and the state of a published store. */
class StoreListener {
public:
    virtual ~StoreListener();
    /** Changes in the order of their revisions, complete up to the position `through`. */
    virtual void onChanges(const std::vector<ItemChange>&, const StorePosition& through) = 0;
    /** All items as of the position `through`. */
    virtual void onListing(const std::vector<ItemChange>&, const StorePosition& through) = 0;
    /** The store has told all changes up to the position `through`, which is its newest one. */
    virtual void onCurrent(const StorePosition& through) = 0;
    /** A call has failed, and so has its repetition. The store was last heard at `since`; `reason` is for the log. May be called again. */
    virtual void onUnreachable(Instant since, std::string_view reason) = 0;
    /** The store has answered. */
    virtual void onReachable() = 0;
};

/** Reads the items published by the platform: first all of them, then changes. */
class StoreReader {
public:
    virtual ~StoreReader();
    /** Starts reading. The listener must outlive this object. */
    virtual void start(StoreListener&) = 0;
    /** Reads all items again, because those held may be outdated. */
    virtual void resync() = 0;
    /** Selects between watching for changes and occasional polling, for when other instances forward the changes. */
    virtual void setWatching(bool) = 0;
    /** Sets the mean interval between polls while not watching. */
    virtual void setPollInterval(Duration) = 0;
    /** Polls now, if the reader waits for its next poll. */
    virtual void pollNow() = 0;
    /** All changes up to this position have arrived from other instances and need not be read. */
    virtual void skipTo(const StorePosition&) = 0;
    /** Number of calls to the store since the start. */
    virtual std::uint64_t callCount() const = 0;
};

} // namespace yuccashift
