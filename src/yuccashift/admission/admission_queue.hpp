#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/kernel/error.hpp"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace yuccashift {

/** A request waiting for admission. */
struct WaitingRequest {
    /** Unique within the queue; chosen by the caller. */
    std::uint64_t id = 0;
    OrganisationName organisation;
    /** Weight of the organisation's share of admissions, relative to other organisations. */
    double weight = 1;
    Priority priority = Priority::Normal;
    Instant deadline;
    /** Expected time from admission to completion. */
    Duration expectedServiceTime {};
};

/** Result of a successful push. */
struct PushOutcome {
    /** Id of the request that was evicted from the full queue; it has not run. */
    std::optional<std::uint64_t> displaced;
};

/**
 * Bounded queue of requests waiting for admission. Priorities are strict. Within
 * a priority, the earliest deadline goes first among the organisations that have
 * not used up their weighted share. Operations take logarithmic time per request.
 * Not thread safe: the caller serialises access to each queue.
 */
class AdmissionQueue {
public:
    explicit AdmissionQueue(std::size_t limit);

    /**
     * Queues a request. Fails with DeadlineUnreachable if the request is not
     * expected to finish before its deadline, and with QueueFull if the queue is
     * full and no request in it may be evicted. Both errors carry the expected
     * wait as the time after which to retry.
     * @param interval expected time between admissions while requests wait
     */
    Result<PushOutcome> push(const WaitingRequest&, Duration interval, Instant now);
    /**
     * Removes and returns the next request to admit; std::nullopt if there is none.
     * Skips requests that can no longer finish in time and leaves them to expire().
     */
    std::optional<WaitingRequest> pop(Instant now);
    /** Removes a request that its caller abandoned; returns false if it is not queued. */
    bool cancel(std::uint64_t id);
    /** Removes and returns the ids of requests that can no longer finish in time, including those skipped by pop(). */
    std::vector<std::uint64_t> expire(Instant now);
    /** When the next request expires; std::nullopt if the queue is empty. Call expire() after each pop() as well. */
    std::optional<Instant> nextExpiry() const;

    /** Highest priority in the queue; std::nullopt if the queue is empty. */
    std::optional<Priority> nextPriority() const;
    std::size_t size() const { return m_requests.size(); }
    std::size_t limit() const { return m_limit; }
    /** Changes the limit for later pushes. Requests already queued beyond a smaller limit stay. */
    void setLimit(std::size_t);
    /**
     * Expected wait of the request if it were queued now.
     * @param interval expected time between admissions while requests wait
     */
    Duration expectedWait(const WaitingRequest&, Duration interval) const;

private:
    using DeadlineKey = std::pair<Instant, std::uint64_t>;
    using OrganisationKey = std::pair<double, OrganisationName>;

    struct Organisation {
        std::set<DeadlineKey> waiting;
        double weight = 1;
        /** Virtual time up to which the organisation has used its share. */
        double servedUntil = 0;
        /** Whether the organisation is within its share. */
        bool eligible = true;
    };
    /** The requests of one priority, by organisation. */
    struct PriorityLevel {
        std::map<OrganisationName, Organisation> organisations;
        /** Organisations within their share, ordered by earliest deadline. */
        std::set<std::pair<DeadlineKey, OrganisationName>> eligible;
        /** Organisations ahead of their share, ordered by the virtual time up to which they have used it. */
        std::set<OrganisationKey> ahead;
        /** All organisations with waiting requests, ordered by number of requests over weight. */
        std::set<OrganisationKey> backlog;
        double virtualTime = 0;
        double totalWeight = 0;
        std::size_t size = 0;
    };

    PriorityLevel& levelOf(Priority priority) { return m_levels[static_cast<std::size_t>(priority)]; }
    const PriorityLevel& levelOf(Priority priority) const { return m_levels[static_cast<std::size_t>(priority)]; }
    static void unlink(PriorityLevel&, const OrganisationName&, const Organisation&);
    static void link(PriorityLevel&, const OrganisationName&, Organisation&);
    static void promote(PriorityLevel&);
    static void charge(PriorityLevel&, const OrganisationName&, double weight);
    void insert(const WaitingRequest&);
    WaitingRequest remove(std::uint64_t id);
    std::optional<std::uint64_t> findVictim(const WaitingRequest&) const;

    std::size_t m_limit;
    static constexpr std::size_t priorityCount = 3;
    std::array<PriorityLevel, priorityCount> m_levels;
    std::unordered_map<std::uint64_t, WaitingRequest> m_requests;
    /** Requests by the latest instant at which they can start. */
    std::set<DeadlineKey> m_latestStarts;
    /** Ids that pop() skipped as expired and expire() has not returned yet. */
    std::vector<std::uint64_t> m_expired;
};

} // namespace yuccashift
