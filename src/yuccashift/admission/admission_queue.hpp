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

/** A request that waits for admission. */
struct WaitingRequest {
    /** Unique within the queue; chosen by the caller. */
    std::uint64_t id = 0;
    OrganisationName organisation;
    /** Share of the organisation against the others. */
    double weight = 1;
    Priority priority = Priority::Normal;
    Instant deadline;
    /** Time that it needs once it has been admitted. */
    Duration expectedServiceTime {};
};

/** What a push did besides queueing the request. */
struct PushOutcome {
    /** A request of lesser claim that had to make room; it did not run. */
    std::optional<std::uint64_t> displaced;
};

/**
 * Bounded queue of requests. Priorities are strict; within one, the earliest
 * deadline goes first among the organisations that have not used up their
 * weighted share. Every operation is logarithmic in the number of requests.
 * Not thread safe: hold one lock for each queue.
 */
class AdmissionQueue {
public:
    explicit AdmissionQueue(std::size_t limit);

    /**
     * Queues a request. interval is the expected time between admissions while
     * requests wait. Fails with DeadlineUnreachable where the request could not
     * finish in time, and with QueueFull where no request has a lesser claim.
     */
    Result<PushOutcome> push(const WaitingRequest&, Duration interval, Instant now);
    /** The next request to admit; never one that can no longer finish in time. */
    std::optional<WaitingRequest> pop(Instant now);
    /** Removes a request that its caller gave up; false where it is not queued. */
    bool cancel(std::uint64_t id);
    /** Removes and returns the requests that can no longer finish in time. */
    std::vector<std::uint64_t> expire(Instant now);
    /** When the next request expires; nothing where none waits. Call expire() also after each pop(). */
    std::optional<Instant> nextExpiry() const;

    /** Priority of the next request; nothing where none waits. */
    std::optional<Priority> nextPriority() const;
    std::size_t size() const { return m_requests.size(); }
    std::size_t limit() const { return m_limit; }
    /** A smaller limit applies to later pushes only. */
    void setLimit(std::size_t);
    /** Expected wait of such a request. */
    Duration expectedWait(const WaitingRequest&, Duration interval) const;

private:
    using DeadlineKey = std::pair<Instant, std::uint64_t>;
    using OrganisationKey = std::pair<double, OrganisationName>;

    struct Organisation {
        std::set<DeadlineKey> waiting;
        double weight = 1;
        /** Virtual time at which it has received its share so far. */
        double served = 0;
        bool eligible = true;
    };
    /** Requests of one priority. */
    struct Class {
        std::map<OrganisationName, Organisation> organisations;
        /** Organisations within their share, by earliest deadline. */
        std::set<std::pair<DeadlineKey, OrganisationName>> eligible;
        /** Organisations ahead of their share, by when they are due. */
        std::set<OrganisationKey> ahead;
        /** All organisations, by backlog over weight. */
        std::set<OrganisationKey> backlog;
        double virtualTime = 0;
        double totalWeight = 0;
        std::size_t size = 0;
    };

    Class& classOf(Priority priority) { return m_classes[static_cast<std::size_t>(priority)]; }
    const Class& classOf(Priority priority) const { return m_classes[static_cast<std::size_t>(priority)]; }
    static void unlink(Class&, const OrganisationName&, const Organisation&);
    static void link(Class&, const OrganisationName&, Organisation&);
    static void promote(Class&);
    static void charge(Class&, const OrganisationName&, double weight);
    void insert(const WaitingRequest&);
    WaitingRequest remove(std::uint64_t id);
    std::optional<std::uint64_t> findVictim(const WaitingRequest&) const;

    std::size_t m_limit;
    static constexpr std::size_t priorities = 3;
    std::array<Class, priorities> m_classes;
    std::unordered_map<std::uint64_t, WaitingRequest> m_requests;
    /** Requests by the latest instant at which they can start. */
    std::set<DeadlineKey> m_latestStarts;
    /** Found too late by pop() and not yet returned by expire(). */
    std::vector<std::uint64_t> m_expired;
};

} // namespace yuccashift
