#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

namespace yuccashift {

/** Records that a backend server crashed with this request in progress. Sent to all instances. */
struct CrashRecord {
    /** requestFingerprint() of the request. */
    std::uint64_t fingerprint = 0;
    /** Hash of the backend server's service and name. */
    std::uint64_t backend = 0;
    /** Time until the record expires. */
    Duration remaining {};
    /** Id of the crash, the same in all records of it; 0 if unknown. */
    std::uint64_t crashId = 0;
};

/** A request under which backend servers had crashed was served, so that it did not cause these crashes. Sent to all instances. */
struct ServedRecord {
    std::uint64_t fingerprint = 0;
    Duration ago {};
};

/** Thresholds and limits of the Quarantine. */
struct QuarantineLimits {
    /** Crashes of backend servers from which a request is refused. */
    std::uint32_t crashThreshold = 2;
    /** Maximum number of crashes recorded for one request. */
    std::uint32_t maxCrashesPerRequest = 4;
    /** Time for which a crash counts against a request. */
    Duration expiry = std::chrono::minutes(10);
    /** Crashes of one backend server reported less than this apart count as one crash. */
    Duration duplicateWindow = seconds(5);
    /** Maximum number of requests with records; those with the fewest crashes are evicted first. */
    std::size_t maxRequests = 4096;
    /** Number of heartbeats in the own region that tell that a request was served. */
    std::uint32_t timesServedSent = 3;
};

/**
 * Tracks requests suspected of crashing backend servers. A request in progress at
 * the time of a crash becomes a suspect; suspects must not share a backend server.
 * After two distinct crashes all instances refuse the request until the records
 * expire, or until an instance that did not know of both has served it. Thread safe under a single lock, which suffices because the quarantine is
 * consulted once for each request and its table is empty most of the time.
 */
class Quarantine {
public:
    explicit Quarantine(QuarantineLimits = {});

    /** Records that a backend server crashed with these requests of this instance in progress. */
    void onBackendCrash(std::uint64_t backend, std::span<const std::uint64_t> inProgress, Instant now);
    /** Records that the request completed: it did not cause earlier crashes. */
    void onSuccess(std::uint64_t fingerprint, Instant now);

    /** Whether the request must be refused with ErrorKind::Quarantined. */
    bool isQuarantined(std::uint64_t fingerprint, Instant now) const;
    /** Whether any crash counts against the request. A suspect must not share a backend server with another one. */
    bool isSuspect(std::uint64_t fingerprint, Instant now) const;
    /** Whether the request may run on a backend server together with the requests in progress there. */
    bool mayRunAlongside(std::uint64_t fingerprint, std::span<const std::uint64_t> inProgress, Instant now) const;

    /** Records for the next heartbeat within the region, those sent least often first. Counts them as sent. */
    std::vector<CrashRecord> takeRecordsForHeartbeat(Instant now, std::size_t limit);
    /** The most recent records, for heartbeats to other regions. */
    std::vector<CrashRecord> newestRecords(Instant now, std::size_t limit) const;
    /**
     * Adds records received from another instance.
     * @param sendInRegion whether to send the records on within this region, which has not received them yet
     */
    void merge(std::span<const CrashRecord>, Instant now, bool sendInRegion = false);

    /** Requests that were served, for the next heartbeat within the region. Counts them as sent. */
    std::vector<ServedRecord> takeServedForHeartbeat(Instant now, std::size_t limit);
    /** The requests that were served last, for heartbeats to other regions. */
    std::vector<ServedRecord> newestServed(Instant now, std::size_t limit) const;
    /**
     * Takes requests that another instance has served or heard of.
     * @param sendInRegion whether to send them on within this region, which has not received them yet
     */
    void mergeServed(std::span<const ServedRecord>, Instant now, bool sendInRegion = false);

    /** Removes expired records. */
    void expire(Instant now);
    /** Number of requests with records, including those cleared but not expired. */
    std::size_t size() const;

private:
    struct Crash {
        std::uint64_t backend = 0;
        Instant at;
        /** Assigned by the instance that observed the crash; 0 if unknown. */
        std::uint64_t id = 0;
        /** Whether this instance sends the record within its region. */
        bool sendInRegion = false;
        /** Number of heartbeats that carried the record. */
        std::uint32_t timesSent = 0;
    };

    struct Suspect {
        std::vector<Crash> crashes;
        /** The request completed at this time, here or elsewhere; crashes up to then do not count against it. */
        Instant clearedUntil {};
        /** Heartbeats that may still tell so. */
        std::uint32_t servedSendsLeft = 0;
    };

    void addCrash(std::uint64_t fingerprint, const Crash&);
    /** The entry of the request; makes room for a new one. */
    Suspect& suspectFor(std::uint64_t fingerprint);
    void evictIfFull();
    bool isSameCrash(const Crash&, const Crash&) const;
    std::vector<Crash> unexpiredCrashes(const Suspect&, Instant now) const;
    std::size_t countCrashes(std::uint64_t fingerprint, Instant now) const;
    CrashRecord makeRecord(std::uint64_t fingerprint, const Crash&, Instant now) const;

    const QuarantineLimits m_limits;
    /** Makes the crash ids of different instances distinct. */
    const std::uint64_t m_salt;
    std::uint64_t m_crashCount = 0;
    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, Suspect> m_suspects;
};

} // namespace yuccashift
