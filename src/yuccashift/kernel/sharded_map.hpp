#pragma once

#include <array>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace yuccashift {

/** Hash map in shards, each under a lock of its own. */
template <typename Key, typename Value, std::size_t shardCount = 16>
class ShardedMap {
public:
    using Shard = std::unordered_map<Key, Value>;

    /** Runs the function on the key's shard with its lock held, and returns its result. */
    template <typename Function>
    auto withShard(const Key& key, Function&& function)
    {
        auto& slot = m_slots[std::hash<Key> {}(key) % shardCount];
        const std::lock_guard lock(slot.mutex);
        return std::forward<Function>(function)(slot.entries);
    }

    /** Runs the function on each shard in turn, one lock at a time. */
    template <typename Function>
    void forEachShard(Function&& function)
    {
        for (auto& slot : m_slots) {
            const std::lock_guard lock(slot.mutex);
            function(slot.entries);
        }
    }

private:
    struct Slot {
        std::mutex mutex;
        Shard entries;
    };
    std::array<Slot, shardCount> m_slots;
};

} // namespace yuccashift
