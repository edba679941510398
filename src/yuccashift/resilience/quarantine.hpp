#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

namespace yuccashift {

/** A backend server died with this request in progress; spread to all instances. */
struct CrashRecord {
    /** requestFingerprint() of the request. */
    std::uint64_t fingerprint = 0;
    /** Hash of the backend server's service and name. */
    std::uint64_t backend = 0;
    /** Time for which the record still counts. */
    Duration remaining {};
    /** The same wherever this death is told; 0 where it is not known. */
    std::uint64_t crashId = 0;
};

struct QuarantineLimits {
    /** Deaths of backend servers after which a request is refused. */
    std::uint32_t crashThreshold = 2;
    /** Deaths remembered for each request. */
    std::uint32_t maxCrashesPerRequest = 4;
    /** Time for which a death counts against a request. */
    Duration expiry = std::chrono::minutes(10);
    /** Reports of one backend server's death this close together are one death. */
    Duration duplicateWindow = seconds(5);
    /** Requests remembered at once; those with fewest deaths go first. */
    std::size_t maxRequests = 4096;
};

/**
 * Requests suspected of crashing backend servers. A request in progress at a
 * death becomes a suspect; suspects run apart from each other. After two
 * distinct deaths the request is refused everywhere until the records expire.
 * Thread safe under one lock: it is asked once for each request and most
 * answers come from an empty table.
 */
class Quarantine {
public:
    explicit Quarantine(QuarantineLimits = {});

    /** A backend server died with these requests of this instance in progress. */
    void onBackendCrash(std::uint64_t backend, std::span<const std::uint64_t> inProgress, Instant now);
    /** The request ran to its end: earlier deaths were not its doing. */
    void onSuccess(std::uint64_t fingerprint, Instant now);

    /** Refuse with ErrorKind::Quarantined. */
    bool isQuarantined(std::uint64_t fingerprint, Instant now) const;
    /** A suspect must not share a backend server with another suspect. */
    bool isSuspect(std::uint64_t fingerprint, Instant now) const;
    /** Whether the request may start beside those in progress at a backend server. */
    bool mayRunAlongside(std::uint64_t fingerprint, std::span<const std::uint64_t> inProgress, Instant now) const;

    /** Records for the next heartbeat in the region, those least spread first; counts them as spread. */
    std::vector<CrashRecord> takeRecordsForHeartbeat(Instant now, std::size_t limit);
    /** The latest records, for other regions. */
    std::vector<CrashRecord> newestRecords(Instant now, std::size_t limit) const;
    /**
     * Records that another instance spread.
     * @param passOn whether this instance spreads them in its region, which has not heard of them
     */
    void merge(std::span<const CrashRecord>, Instant now, bool passOn = false);

    void expire(Instant now);
    std::size_t size() const;

private:
    struct Death {
        std::uint64_t backend = 0;
        Instant at;
        /** Number of the death where one instance saw it; 0 where unknown. */
        std::uint64_t id = 0;
        /** Whether this instance tells its region. */
        bool toSpread = false;
        /** How often it did. */
        std::uint32_t spreads = 0;
    };

    struct Suspect {
        std::vector<Death> deaths;
        /** Deaths up to here were not its doing. */
        Instant clearedUntil {};
    };

    void add(std::uint64_t fingerprint, const Death&);
    void makeRoom();
    bool isSame(const Death&, const Death&) const;
    std::vector<Death> currentDeaths(const Suspect&, Instant now) const;
    std::size_t countDeaths(std::uint64_t fingerprint, Instant now) const;
    CrashRecord recordOf(std::uint64_t fingerprint, const Death&, Instant now) const;

    const QuarantineLimits m_bounds;
    /** Keeps apart the deaths that different instances number. */
    const std::uint64_t m_salt;
    std::uint64_t m_deaths = 0;
    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, Suspect> m_suspects;
};

} // namespace yuccashift
