#include "yuccashift/http/memory_account.hpp"

#include "yuccashift/kernel/log.hpp"

#include <algorithm>
#include <array>
#include <mutex>
#include <numeric>
#include <optional>
#include <vector>

namespace yuccashift {

namespace {

    /** Memory of a process for everything but its connections. */
    constexpr std::size_t processBytes = 64UL << 20;
    constexpr std::size_t minLimitBytes = 16UL << 20;
    /** The rest is for what the kernel has received and is not read yet, for what allocators keep, and for buffers that are copied while they grow. */
    constexpr std::size_t limitDivisor = 2;
    /** Share of the limit that only small holders use. */
    constexpr std::size_t reserveDivisor = 8;
    constexpr std::size_t smallHolderBytes = 64 * 1024;
    /** Evicting less would not be worth the connection. */
    constexpr std::size_t minEvictedBytes = 2 * 1024;
    constexpr Duration logInterval = seconds(10);

    /** Bytes times the time for which they have been held; holders of the same age compare by bytes. */
    double weightOf(const HeldMemory& held, Instant now)
    {
        const auto age = std::chrono::duration<double, std::milli>(std::max(now - held.since, Duration::zero()));
        return static_cast<double>(held.bytes) * (1 + age.count());
    }

} // namespace

namespace detail {

    struct MemoryState {
        using Victims = std::vector<std::shared_ptr<Evictable>>;

        MemoryState(std::size_t limitBytes, const Clock& accountClock)
            : limit(limitBytes)
            , clock(accountClock)
        {
        }

        void insert(MemoryHolder&);
        void erase(MemoryHolder&);
        bool resize(MemoryHolder&, const HeldMemory&);
        void release(MemoryHolder&);
        std::size_t sum() const { return std::accumulate(heldByUse.begin(), heldByUse.end(), std::size_t { 0 }); }

        const std::size_t limit;
        const Clock& clock;
        mutable std::mutex mutex;
        std::array<std::size_t, memoryUses> heldByUse {};
        std::vector<MemoryHolder*> holders;
        MemoryCounts counts;
        std::optional<Instant> loggedAt;
        MemoryCounts loggedCounts;

        void set(MemoryHolder&, const HeldMemory&);
        bool makeRoom(const MemoryHolder& asking, const HeldMemory&, Victims&);
        MemoryHolder* heaviest(const MemoryHolder& asking, const HeldMemory&) const;
        /** Logs that memory is short, unless that was logged a short time ago. */
        void logShortage();
    };

    void MemoryState::insert(MemoryHolder& holder)
    {
        const std::lock_guard lock(mutex);
        holder.m_index = holders.size();
        holders.push_back(&holder);
    }

    void MemoryState::erase(MemoryHolder& holder)
    {
        const std::lock_guard lock(mutex);
        set(holder, {});
        holders[holder.m_index] = holders.back();
        holders[holder.m_index]->m_index = holder.m_index;
        holders.pop_back();
    }

    void MemoryState::release(MemoryHolder& holder)
    {
        const std::lock_guard lock(mutex);
        set(holder, {});
        holder.m_evicted = false;
    }

    void MemoryState::set(MemoryHolder& holder, const HeldMemory& held)
    {
        auto& sum = heldByUse[static_cast<std::size_t>(holder.m_use)];
        sum = sum - holder.m_held.bytes + held.bytes;
        holder.m_held = held;
    }

    bool MemoryState::resize(MemoryHolder& holder, const HeldMemory& held)
    {
        Victims victims;
        bool granted = false;
        {
            const std::lock_guard lock(mutex);
            if (holder.m_evicted)
                return false;
            granted = held.bytes <= holder.m_held.bytes || makeRoom(holder, held, victims);
            if (granted)
                set(holder, held);
            else
                ++counts.refusals;
            if (!granted || !victims.empty())
                logShortage();
        }
        for (const auto& it : victims)
            it->evict();
        return granted;
    }

    bool MemoryState::makeRoom(const MemoryHolder& asking, const HeldMemory& held, Victims& victims)
    {
        const auto bound = held.bytes <= smallHolderBytes ? limit : limit - limit / reserveDivisor;
        const auto growth = held.bytes - asking.m_held.bytes;
        while (std::accumulate(heldByUse.begin(), heldByUse.end(), growth) > bound) {
            auto* victim = heaviest(asking, held);
            if (!victim)
                return false;
            ++counts.evictions;
            victim->m_evicted = true;
            set(*victim, {});
            if (auto owner = victim->m_owner.lock())
                victims.push_back(std::move(owner));
        }
        return true;
    }

    MemoryHolder* MemoryState::heaviest(const MemoryHolder& asking, const HeldMemory& held) const
    {
        const auto now = clock.now();
        MemoryHolder* found = nullptr;
        // A holder that could be evicted itself gets no room at the expense of a lighter one.
        double weight = held.evictable ? weightOf(held, now) : 0;
        for (auto* it : holders) {
            if (it == &asking || !it->m_held.evictable || it->m_held.bytes < minEvictedBytes)
                continue;
            const auto other = weightOf(it->m_held, now);
            if (other <= weight)
                continue;
            weight = other;
            found = it;
        }
        return found;
    }

    void MemoryState::logShortage()
    {
        const auto now = clock.now();
        if (loggedAt && now - *loggedAt < logInterval)
            return;
        loggedAt = now;
        logWarning("memory for connections is used up", { { "limit_bytes", limit }, { "request_bytes", heldByUse[0] }, { "answer_bytes", heldByUse[1] }, { "holders", holders.size() }, { "evicted", counts.evictions - loggedCounts.evictions }, { "refused", counts.refusals - loggedCounts.refusals } });
        loggedCounts = counts;
    }

} // namespace detail

Evictable::~Evictable() = default;

std::string_view toString(MemoryUse use)
{
    return use == MemoryUse::Requests ? "requests" : "answers";
}

MemoryAccount::MemoryAccount(std::size_t limitBytes, const Clock& clock)
    : m_state(std::make_shared<detail::MemoryState>(limitBytes, clock))
{
}

MemoryAccount::~MemoryAccount() = default;

std::size_t MemoryAccount::limitFor(std::size_t processMemoryBytes)
{
    return std::max(minLimitBytes, (processMemoryBytes - std::min(processMemoryBytes, processBytes)) / limitDivisor);
}

std::size_t MemoryAccount::limit() const
{
    return m_state->limit;
}

std::size_t MemoryAccount::held() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->sum();
}

std::size_t MemoryAccount::held(MemoryUse use) const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->heldByUse[static_cast<std::size_t>(use)];
}

MemoryCounts MemoryAccount::counts() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->counts;
}

MemoryHolder::MemoryHolder(MemoryAccount& account, MemoryUse use)
    : m_account(account.m_state)
    , m_use(use)
{
    m_account->insert(*this);
}

MemoryHolder::~MemoryHolder()
{
    m_account->erase(*this);
}

bool MemoryHolder::resize(const HeldMemory& held)
{
    return m_account->resize(*this, held);
}

void MemoryHolder::release()
{
    m_account->release(*this);
}

} // namespace yuccashift
