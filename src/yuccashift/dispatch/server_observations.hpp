#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace yuccashift {

/** What instances observed of the requests that they sent to one server. */
struct ServerObservation {
    std::uint64_t server = 0;
    /** First bytes that arrived. */
    double firstBytes = 0;
    /** Mean over them of the logarithm of the server's pace. */
    double meanLogPace = 0;
    /** Requests that ended and say something about the server, and those of them that failed or were lost. */
    double outcomes = 0;
    double failures = 0;
};

/**
 * What all instances of a region observe of its servers together. An instance among many sends each server a
 * request every other second; all of them together send dozens, so that a server's speed, and that it has
 * become slow or fails, is known within a second or two. Observations lose half of their weight in a few seconds.
 *
 * The pace of a server is the ratio of its observed to its expected time to first byte, by the mean of all servers.
 */
class ServerObservations {
public:
    explicit ServerObservations(const Clock&);

    void onFirstByte(std::uint64_t server, double pace);
    void onOutcome(std::uint64_t server, bool failed);
    /** Adds what another instance observed since its last report. */
    void onReport(const ServerObservation&);
    /** What this instance observed since the last call, for up to the given number of servers, those with the most observations first; the rest is left for the next call. */
    std::vector<ServerObservation> takeOwn(std::size_t maxServers);
    void remove(std::uint64_t server);

    /** Expected pace of the server; 1 if nothing was observed lately. */
    double pace(std::uint64_t server) const;
    /** Share of the requests that failed, and the weight of those that it is taken from. */
    double failureShare(std::uint64_t server) const;
    double outcomes(std::uint64_t server) const;

private:
    struct Sums {
        double firstBytes = 0;
        double logPaces = 0;
        double outcomes = 0;
        double failures = 0;
    };
    struct Record {
        /** Of all instances, with the weight that they had at `updatedAt`. */
        Sums all;
        Instant updatedAt {};
        /** Of this instance since its last report. */
        Sums unreported;
    };
    Sums current(std::uint64_t server) const;
    /** The record, with its sums brought to now. */
    Record& updated(std::uint64_t server);
    Sums aged(const Record&) const;

    const Clock& m_clock;
    std::unordered_map<std::uint64_t, Record> m_records;
};

} // namespace yuccashift
