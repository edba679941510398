#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace yuccashift {

/** What one answer of a backend server asks of the instances that send to it. */
struct ServerStatement {
    /** Requests per second that the server takes from all instances together; std::nullopt if it names no limit. */
    std::optional<double> requestsPerSecond;
    /** The server is about to leave. */
    bool leaving = false;
    /** Time for which the server wants no requests from the instance that it answers; zero if it names none. */
    Duration restFor {};
    /** Requests that the server can turn away in a second for want of room without falling over; std::nullopt if it names no number. */
    std::optional<double> bearableRejections {};
};

/** What a server asked for, as instances pass it on to each other. */
struct ConstraintReport {
    std::uint64_t server = 0;
    ServerStatement statement;
    /** Time since the server's answer that named the limit, or named none. */
    Duration age {};
};

/**
 * What backend servers asked of the instances that send to them. A limit is in
 * force until a later answer of the same server withdraws it, a rest for the time
 * named, and a departure until the server is removed.
 */
class ServerConstraints {
public:
    explicit ServerConstraints(const Clock&);

    /** Records what an answer of the server asks for; returns whether it is news that the server leaves. An answer without a limit withdraws an earlier one. */
    bool onAnswer(std::uint64_t server, const ServerStatement&);
    /** Takes a report of another instance, its limit only if it is newer than what is known. */
    void onReport(const ConstraintReport&);
    /** Records that a request is sent to the server, by this instance itself or through the server's owner. */
    void onSend(std::uint64_t server);

    /** The limit in force; std::nullopt if the server named none. */
    std::optional<double> rateLimit(std::uint64_t server) const;
    /** Whether this instance may send the next request to the server now, if it may send at this rate. Never with a rate of 0. */
    bool maySend(std::uint64_t server, double requestsPerSecond) const;
    bool isLeaving(std::uint64_t server) const;
    /** Requests per second that the server can turn away without falling over; std::nullopt if it is not brittle. */
    std::optional<double> bearableRejections(std::uint64_t server) const;
    /** Time for which the server still wants no requests; zero if it takes them. */
    Duration restFor(std::uint64_t server) const;
    /** What this instance learned from answers, newest first, for heartbeats: what is in force, and limits withdrawn recently. */
    std::vector<ConstraintReport> reports() const;
    /** Forgets a server that was removed, some time later: its entry may only be missing for a while. */
    void remove(std::uint64_t server);

private:
    struct Entry {
        std::optional<double> requestsPerSecond;
        /** When the answer arrived that said so, here or at the instance that reported it. */
        Instant statedAt {};
        bool fromOwnAnswer = false;
        Instant lastSend {};
        bool leaving = false;
        Instant restUntil {};
        std::optional<double> bearableRejections;
        std::optional<Instant> removedAt;
    };
    void setLimit(Entry&, std::uint64_t server, std::optional<double> requestsPerSecond);
    static void setBearableRejections(Entry&, std::uint64_t server, std::optional<double> perSecond);
    const Entry* find(std::uint64_t server) const;

    const Clock& m_clock;
    std::unordered_map<std::uint64_t, Entry> m_entries;
};

/** The instances of a region among which a server's rate limit is divided. */
struct LimitDivision {
    const InstanceId& self;
    /** Instances that are active, including this one. */
    std::span<const InstanceId> active;
    /** Number of instances that may be running, including those not heard lately. */
    std::size_t known = 1;
};

/**
 * Requests per second that this instance may send to a server with a limit; 0 if it may send none. Only as many
 * instances take part as the limit bears, because each of them may send one request at any time: which ones
 * follows from a hash of the server and the active instances, so that no agreement is needed.
 */
double shareOfRateLimit(double limit, std::uint64_t server, const LimitDivision&);

} // namespace yuccashift
