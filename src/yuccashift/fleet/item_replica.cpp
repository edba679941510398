#include "yuccashift/fleet/item_replica.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace yuccashift {

namespace {

    // Changes kept for peers that lag behind; a peer that lags further fetches all items.
    constexpr std::size_t maxHistory = 256;

} // namespace

bool ItemReplica::applyChange(const ItemChange& change)
{
    if (change.valueFollows) {
        awaitValue(change);
        return false;
    }
    const auto it = m_items.find(change.key);
    const bool present = it != m_items.end();
    if (present && it->second.revision >= change.revision)
        return false;
    const auto awaited = m_awaitedValues.find(change.key);
    const bool isAwaited = awaited != m_awaitedValues.end() && awaited->second <= change.revision;
    if (isAwaited)
        m_awaitedValues.erase(awaited);
    // All changes up to m_revision are known, so an older change to an absent item was followed by its removal.
    if (!present && (!change.value || (change.revision <= m_revision && !isAwaited)))
        return false;
    if (change.value)
        m_items[change.key] = { *change.value, change.revision };
    else
        m_items.erase(it);
    return true;
}

void ItemReplica::awaitValue(const ItemChange& change)
{
    const auto it = m_items.find(change.key);
    const bool outdated = it == m_items.end() ? change.revision <= m_revision : change.revision <= it->second.revision;
    if (outdated)
        return;
    auto& awaited = m_awaitedValues[change.key];
    awaited = std::max(awaited, change.revision);
}

std::int64_t ItemReplica::completeRevision() const
{
    auto complete = m_revision;
    for (const auto& [key, revision] : m_awaitedValues)
        complete = std::min(complete, revision - 1);
    return complete;
}

void ItemReplica::appendHistory(std::span<const ItemChange> changes, std::optional<Instant> now)
{
    for (const auto& change : changes) {
        if (change.revision <= m_revision)
            continue;
        if (change.value && change.value->size() > maxInlineValueBytes)
            m_history.push_back({ change.key, std::nullopt, change.revision, true });
        else
            m_history.push_back(change);
        if (!m_history.back().learnedAt)
            m_history.back().learnedAt = now;
    }
    while (m_history.size() > maxHistory) {
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

std::vector<ItemChange> ItemReplica::apply(std::span<const ItemChange> changes, std::int64_t through, std::optional<Instant> now)
{
    std::vector<ItemChange> applied;
    appendHistory(changes, now);
    for (const auto& change : changes) {
        if (applyChange(change))
            applied.push_back(change);
    }
    m_revision = std::max(m_revision, through);
    return applied;
}

std::vector<ItemChange> ItemReplica::replaceAll(std::span<const ItemChange> listing, std::int64_t through)
{
    if (through < m_revision)
        return apply(listing, m_revision);
    std::set<std::string_view> listed;
    for (const auto& change : listing)
        listed.insert(change.key);
    std::vector<ItemChange> removals;
    for (const auto& [key, item] : m_items) {
        if (item.revision <= through && !listed.contains(key))
            removals.push_back({ key, std::nullopt, through });
    }
    std::erase_if(m_awaitedValues, [&](const auto& it) { return it.second <= through && !listed.contains(it.first); });
    auto applied = apply(removals, m_revision);
    const auto updates = apply(listing, through);
    applied.insert(applied.end(), updates.begin(), updates.end());
    // A listing does not show items that were both added and removed since the previous one, so the history
    // before it is incomplete.
    m_history.clear();
    m_historyFrom = m_revision;
    return applied;
}

std::vector<ItemChange> ItemReplica::beginEra(std::int64_t era, std::span<const ItemChange> listing, std::int64_t through)
{
    const auto previous = std::exchange(m_items, {});
    m_era = era;
    m_revision = 0;
    m_awaitedValues.clear();
    m_history.clear();
    auto applied = apply(listing, through);
    m_history.clear();
    m_historyFrom = m_revision;
    std::erase_if(applied, [&](const auto& change) {
        const auto it = previous.find(change.key);
        return it != previous.end() && it->second.value == change.value;
    });
    for (const auto& [key, item] : previous) {
        if (m_items.contains(key))
            continue;
        if (m_awaitedValues.contains(key))
            // The value in force stays until the one of the new era arrives.
            m_items[key] = { item.value, 0 };
        else
            applied.push_back({ key, std::nullopt, through });
    }
    return applied;
}

} // namespace yuccashift
