#include "yuccashift/fleet/held_items.hpp"

#include <algorithm>
#include <set>

namespace yuccashift {

bool HeldItems::take(const ItemChange& change)
{
    const auto it = m_items.find(change.key);
    const bool held = it != m_items.end();
    if (held && it->second.revision >= change.revision)
        return false;
    // Up to this revision all is known: an item that is not held was removed since.
    if (!held && (!change.value || change.revision <= m_revision))
        return false;
    if (change.value)
        m_items[change.key] = { *change.value, change.revision };
    else
        m_items.erase(it);
    return true;
}

std::vector<ItemChange> HeldItems::apply(std::span<const ItemChange> changes, std::int64_t through)
{
    std::vector<ItemChange> taken;
    for (const auto& change : changes) {
        if (take(change))
            taken.push_back(change);
    }
    m_revision = std::max(m_revision, through);
    return taken;
}

std::vector<ItemChange> HeldItems::replaceAll(std::span<const ItemChange> listing, std::int64_t through)
{
    if (through < m_revision)
        return apply(listing, m_revision);
    std::set<std::string_view> listed;
    for (const auto& change : listing)
        listed.insert(change.key);
    std::vector<ItemChange> gone;
    for (const auto& [key, item] : m_items) {
        if (item.revision <= through && !listed.contains(key))
            gone.push_back({ key, std::nullopt, through });
    }
    auto taken = apply(gone, m_revision);
    const auto present = apply(listing, through);
    taken.insert(taken.end(), present.begin(), present.end());
    return taken;
}

} // namespace yuccashift
