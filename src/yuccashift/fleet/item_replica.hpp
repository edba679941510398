#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace yuccashift {

/** A change of one published item: its new value or its removal. */
struct ItemChange {
    std::string key;
    /** std::nullopt if the item was removed. */
    std::optional<std::string> value;
    std::int64_t revision = 0;
};

/**
 * This instance's copy of the published items. A change with an older revision
 * never replaces one with a newer revision, whether it comes from a watch, from
 * a page of a listing or from a peer.
 */
class ItemReplica {
public:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
    };

    /**
     * Applies changes, which may be in any order, and returns those that took effect.
     * @param through no change up to and including this revision is missing after the call
     */
    std::vector<ItemChange> apply(std::span<const ItemChange> changes, std::int64_t through);
    /**
     * Applies a complete listing and returns the changes that took effect. Items that
     * the listing lacks are removed, unless they changed after it; a listing older than
     * revision() removes nothing.
     * @param through revision up to which the listing is complete
     */
    std::vector<ItemChange> replaceAll(std::span<const ItemChange> listing, std::int64_t through);

    /** The changes after a revision, or std::nullopt if the history does not reach back to it. */
    std::optional<std::vector<ItemChange>> changesAfter(std::int64_t revision) const;
    /** Every change up to and including this revision is known. */
    std::int64_t revision() const { return m_revision; }
    const std::map<std::string, Item>& items() const { return m_items; }

private:
    bool applyChange(const ItemChange&);
    void appendHistory(std::span<const ItemChange>);

    std::map<std::string, Item> m_items;
    std::int64_t m_revision = 0;
    /** All changes after m_historyFrom, in the order of their arrival. */
    std::deque<ItemChange> m_history;
    std::int64_t m_historyFrom = 0;
};

} // namespace yuccashift
