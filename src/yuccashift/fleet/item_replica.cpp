#include "yuccashift/fleet/item_replica.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace yuccashift {

namespace {

    /** Changes remembered for instances that lag; an older one reads everything. */
    constexpr std::size_t mostHistory = 256;

} // namespace

bool ItemReplica::take(const ItemChange& change)
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

void ItemReplica::remember(std::span<const ItemChange> changes)
{
    for (const auto& change : changes) {
        if (change.revision > m_revision)
            m_history.push_back(change);
    }
    while (m_history.size() > mostHistory) {
        m_historyFrom = std::max(m_historyFrom, m_history.front().revision);
        m_history.pop_front();
    }
}

std::optional<std::vector<ItemChange>> ItemReplica::changesAfter(std::int64_t revision) const
{
    if (revision < m_historyFrom)
        return {};
    std::vector<ItemChange> changes;
    std::ranges::copy_if(m_history, std::back_inserter(changes), [&](const auto& it) { return it.revision > revision; });
    return changes;
}

std::vector<ItemChange> ItemReplica::apply(std::span<const ItemChange> changes, std::int64_t through)
{
    std::vector<ItemChange> taken;
    remember(changes);
    for (const auto& change : changes) {
        if (take(change))
            taken.push_back(change);
    }
    m_revision = std::max(m_revision, through);
    return taken;
}

std::vector<ItemChange> ItemReplica::replaceAll(std::span<const ItemChange> listing, std::int64_t through)
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
    // A listing does not tell what came and went since the last one.
    m_history.clear();
    m_historyFrom = m_revision;
    return taken;
}

} // namespace yuccashift
