#include "yuccashift/fleet/held_items.hpp"

#include <algorithm>
#include <set>

namespace yuccashift {

namespace {

    /** Removals remembered at once; far more than change between two listings. */
    constexpr std::size_t mostRemovals = 4096;

} // namespace

bool HeldItems::take(const ItemChange& change)
{
    const auto it = m_items.find(change.key);
    const auto removed = m_removed.find(change.key);
    if (it != m_items.end() && it->second.revision >= change.revision)
        return false;
    if (removed != m_removed.end() && removed->second >= change.revision)
        return false;
    if (change.value) {
        m_items[change.key] = { *change.value, change.revision };
        if (removed != m_removed.end())
            m_removed.erase(removed);
        return true;
    }
    m_removed[change.key] = change.revision;
    if (m_removed.size() > mostRemovals)
        m_removed.erase(std::ranges::min_element(m_removed, {}, [](const auto& entry) { return entry.second; }));
    if (it == m_items.end())
        return false;
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
