#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace yuccashift {

/** What memory is held for. */
enum class MemoryUse {
    /** Connections, and what they have received of requests. */
    Requests,
    /** Answers that are not yet delivered. */
    Answers,
};

constexpr std::size_t memoryUses = 2;

std::string_view toString(MemoryUse);

/** Holds memory that it can free in favour of others. */
class Evictable {
public:
    virtual ~Evictable();
    /** Schedules the end of what holds the memory. Called on any thread, while other code of the owner may be running. */
    virtual void evict() = 0;
};

/** What one holder keeps in memory. */
struct HeldMemory {
    std::size_t bytes = 0;
    /** Whether all of it may be freed in favour of others. */
    bool evictable = false;
    /** The last progress. What has been held for longest without any is freed first. */
    Instant since {};
};

/** Counters of an account since its start. */
struct MemoryCounts {
    std::uint64_t evictions = 0;
    std::uint64_t refusals = 0;
};

namespace detail {
    struct MemoryState;
} // namespace detail

/**
 * The memory that the connections of a process hold, all listeners together, and its limit. If it is used up, the
 * holder with the most bytes for the longest time without progress is evicted in favour of others. Large holders leave
 * a reserve to small ones. Thread-safe.
 */
class MemoryAccount {
public:
    /** @param clock must outlive all calls of MemoryHolder::resize() */
    MemoryAccount(std::size_t limitBytes, const Clock& clock);
    ~MemoryAccount();
    MemoryAccount(const MemoryAccount&) = delete;
    MemoryAccount& operator=(const MemoryAccount&) = delete;

    /** Limit for connections of a process that may use this much memory, in bytes. */
    static std::size_t limitFor(std::size_t processMemoryBytes);

    std::size_t limit() const;
    std::size_t held() const;
    std::size_t held(MemoryUse) const;
    MemoryCounts counts() const;

private:
    friend class MemoryHolder;
    std::shared_ptr<detail::MemoryState> m_state;
};

/** One owner's part of an account; given back by the destructor, which may run after that of the account. */
class MemoryHolder {
public:
    MemoryHolder(MemoryAccount&, MemoryUse);
    ~MemoryHolder();
    MemoryHolder(const MemoryHolder&) = delete;
    MemoryHolder& operator=(const MemoryHolder&) = delete;

    /** Sets whom to ask for memory that is evictable; to be called before the first resize(). */
    void setOwner(std::weak_ptr<Evictable> owner) { m_owner = std::move(owner); }
    /** Changes what is held. Returns false if there is no room, or if the holder was evicted; it then counts as before. */
    bool resize(const HeldMemory&);
    /** Gives everything back, also after an eviction. */
    void release();

private:
    friend struct detail::MemoryState;

    std::shared_ptr<detail::MemoryState> m_account;
    const MemoryUse m_use;
    std::weak_ptr<Evictable> m_owner;
    HeldMemory m_held;
    bool m_evicted = false;
    std::size_t m_index = 0;
};

} // namespace yuccashift
