#pragma once

#include "benchmarks/runner/event_queue.hpp"
#include "benchmarks/runner/workload.hpp"
#include "yuccashift/ports/engine_control.hpp"

#include <functional>
#include <list>
#include <map>
#include <set>
#include <unordered_map>

namespace yuccashift::runner {

/** How an attempt on a server ended. */
enum class Reply {
    Answered,
    /** Refused before it ran. */
    Refused,
    /** No connection: it did not run. */
    Unreachable,
    /** Connection lost: it may have run. */
    Lost,
};

/** Speed and capacity of a server. */
struct ServerSpec {
    std::uint32_t slots = 8;
    std::uint32_t waitingLimit = 32;
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 60;
    /** Fraction by which decoding takes longer when all slots are busy. */
    double batchPenalty = 0.5;
    std::uint32_t blockTokens = 64;
    std::size_t cacheBlocks = 800;
};

/** Simulated model engine or plain service with slots, priorities, batching and a prefix cache. */
class ServerModel {
public:
    using Callback = std::function<void(Reply)>;

    ServerModel(EventQueue&, ServerSpec);

    /** Runs or queues an attempt; the callback is called at most once, and never after cancel(). */
    std::uint64_t submit(const Arrival&, Callback);
    void cancel(std::uint64_t attempt);
    /** Drops all attempts and the cache, and is unreachable until revive(). */
    void kill();
    void revive();
    void setSlowdown(double factor) { m_slowdown = factor; }
    void setLeaving(bool leaving) { m_leaving = leaving; }

    bool alive() const { return m_alive; }
    bool leaving() const { return m_leaving; }
    LoadReport report() const;
    /** Cache events since the last call, oldest first. */
    std::vector<CacheEvent> takeEvents();

    /** Accelerator time in seconds, including attempts that were cancelled or lost. */
    double acceleratorSeconds() const { return m_acceleratorSeconds; }
    double cachedTokens() const { return m_cachedTokens; }
    double promptTokens() const { return m_promptTokens; }

private:
    struct Attempt {
        const Arrival* arrival;
        Callback callback;
    };
    using WaitKey = std::pair<Priority, std::uint64_t>;

    void startWaiting();
    void start(std::uint64_t attempt);
    void finish(std::uint64_t attempt);
    Duration serviceTime(const Arrival&);
    std::uint32_t useCache(const Arrival&);
    void storeBlock(std::uint64_t block);
    void addEvent(bool stored, std::uint64_t block);

    EventQueue& m_events;
    ServerSpec m_spec;
    bool m_alive = true;
    bool m_leaving = false;
    double m_slowdown = 1;
    std::uint64_t m_lastAttempt = 0;
    std::uint64_t m_sequence = 0;
    std::map<std::uint64_t, Attempt> m_attempts;
    std::set<WaitKey> m_waiting;
    std::set<std::uint64_t> m_running;
    Instant m_prefillFreeAt;
    std::list<std::uint64_t> m_cacheOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
    std::vector<CacheEvent> m_newEvents;
    double m_acceleratorSeconds = 0;
    double m_cachedTokens = 0;
    double m_promptTokens = 0;
};

} // namespace yuccashift::runner
