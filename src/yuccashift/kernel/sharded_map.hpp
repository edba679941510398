#pragma once

#include <array>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace yuccashift {

/** Thread-safe hash map that is split into shards with one mutex each. */
template <typename Key, typename Value, std::size_t shardCount = 16>
class ShardedMap {
public:
    using Shard = std::unordered_map<Key, Value>;

    /** Calls the function with the shard that holds the key, under the lock of the shard, and returns its result. */
    template <typename Function>
    auto withShard(const Key& key, Function&& function)
    {
        auto& shard = m_shards[std::hash<Key> {}(key) % shardCount];
        const std::lock_guard lock(shard.mutex);
        return std::forward<Function>(function)(shard.entries);
    }

    /** Calls the function with each shard in turn, holding only the lock of that shard. */
    template <typename Function>
    void forEachShard(Function&& function)
    {
        for (auto& shard : m_shards) {
            const std::lock_guard lock(shard.mutex);
            function(shard.entries);
        }
    }

private:
    struct LockedShard {
        std::mutex mutex;
        Shard entries;
    };
    std::array<LockedShard, shardCount> m_shards;
};

} // namespace yuccashift
