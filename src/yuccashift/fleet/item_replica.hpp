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

/** One published item or its removal. */
struct ItemChange {
    std::string key;
    /** Nothing where the item was removed. */
    std::optional<std::string> value;
    std::int64_t revision = 0;
};

/**
 * What an instance holds of the published items. Older news never replaces
 * newer, whichever way it comes: from a watch, from pages or from a peer.
 */
class ItemReplica {
public:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
    };

    /** Takes changes in any order; `through` says up to which revision nothing is missing. */
    std::vector<ItemChange> apply(std::span<const ItemChange> changes, std::int64_t through);
    /** Takes a whole listing that is complete up to its revision; items that it lacks are gone. */
    std::vector<ItemChange> replaceAll(std::span<const ItemChange> listing, std::int64_t through);

    /** What changed after a revision; nothing where that is not remembered. */
    std::optional<std::vector<ItemChange>> changesAfter(std::int64_t revision) const;
    /** Everything up to here is known. */
    std::int64_t revision() const { return m_revision; }
    const std::map<std::string, Item>& items() const { return m_items; }

private:
    bool take(const ItemChange&);
    void remember(std::span<const ItemChange>);

    std::map<std::string, Item> m_items;
    std::int64_t m_revision = 0;
    /** Changes after m_historyFrom in the order of their coming, without a gap. */
    std::deque<ItemChange> m_history;
    std::int64_t m_historyFrom = 0;
};

} // namespace yuccashift
