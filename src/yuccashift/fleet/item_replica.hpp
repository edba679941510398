#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace yuccashift {

/** Larger values are not sent along with the changes of items, so that no change waits for the transfer of another item's value. */
constexpr std::size_t maxInlineValueBytes = 16 * 1024;

/** A revision within an era of the store. Positions of a later era are later, whatever their revisions. */
struct StorePosition {
    /** Rises when the store comes back from an older copy of its items; 0 if the store names none. */
    std::int64_t era = 0;
    std::int64_t revision = 0;

    friend bool operator==(const StorePosition&, const StorePosition&) = default;
    friend std::strong_ordering operator<=>(const StorePosition& left, const StorePosition& right)
    {
        return std::pair(left.era, left.revision) <=> std::pair(right.era, right.revision);
    }
};

/** A change of one published item: its new value or its removal. */
struct ItemChange {
    std::string key;
    /** std::nullopt if the item was removed or the value follows. */
    std::optional<std::string> value;
    std::int64_t revision = 0;
    /** Whether the item was written and its value is transferred separately. */
    bool valueFollows = false;
    /** When the first instance learned of the change, if it is known. */
    std::optional<Instant> learnedAt {};

    bool isRemoval() const { return !value && !valueFollows; }
};

/**
 * This instance's copy of the published items. A change with an older revision
 * never replaces one with a newer revision, whether it comes from a watch, from
 * a page of a listing or from a peer. An item whose value follows keeps its
 * previous value until the new one arrives.
 *
 * Revisions belong to an era of the store. A store that came back from an older
 * copy of its items begins a new era, in which revisions are given out again.
 */
class ItemReplica {
public:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
    };

    /**
     * Applies changes, which may be in any order, and returns those that took effect. Changes whose
     * value follows take effect when the value is applied.
     * @param through no change up to and including this revision is missing after the call
     * @param now time at which changes became known that do not tell it themselves
     */
    std::vector<ItemChange> apply(std::span<const ItemChange> changes, std::int64_t through, std::optional<Instant> now = {});
    /**
     * Applies a complete listing and returns the changes that took effect. Items that
     * the listing lacks are removed, unless they changed after it; a listing older than
     * revision() removes nothing.
     * @param through revision up to which the listing is complete
     */
    std::vector<ItemChange> replaceAll(std::span<const ItemChange> listing, std::int64_t through);
    /**
     * Begins an era with a complete listing, whatever the revisions of the previous one were, and returns the
     * changes that took effect. Items whose value stays the same are not among them.
     */
    std::vector<ItemChange> beginEra(std::int64_t era, std::span<const ItemChange> listing, std::int64_t through);

    /** Applies a value that followed its change; returns whether it took effect. It may be newer than the changes known. */
    bool applyValue(const ItemChange& change) { return applyChange(change); }

    /** The changes after a revision, without large values, or std::nullopt if the history does not reach back to it. */
    std::optional<std::vector<ItemChange>> changesAfter(std::int64_t revision) const;
    /** Era of the store to which the revisions belong; 0 while none is known. */
    std::int64_t era() const { return m_era; }
    /** Names the era in which the items were read so far; has no effect once one is known. */
    void setFirstEra(std::int64_t era) { m_era = m_era == 0 ? era : m_era; }
    /** Every change up to and including this revision is known, though values may follow. */
    std::int64_t revision() const { return m_revision; }
    /** Every change up to and including this revision is known with its value. */
    std::int64_t completeRevision() const;
    const std::map<std::string, Item>& items() const { return m_items; }
    /** Items whose newest value has not arrived, with the revision of that value. */
    const std::map<std::string, std::int64_t>& awaitedValues() const { return m_awaitedValues; }

private:
    bool applyChange(const ItemChange&);
    void awaitValue(const ItemChange&);
    void appendHistory(std::span<const ItemChange>, std::optional<Instant> now);

    std::map<std::string, Item> m_items;
    std::map<std::string, std::int64_t> m_awaitedValues;
    std::int64_t m_era = 0;
    std::int64_t m_revision = 0;
    /** All changes after m_historyFrom, in the order of their arrival. */
    std::deque<ItemChange> m_history;
    std::int64_t m_historyFrom = 0;
};

} // namespace yuccashift
