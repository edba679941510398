#pragma once

#include "yuccashift/fleet/route_config.hpp"
#include "yuccashift/kernel/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace yuccashift {

/** Age of the oldest stream that may have begun under a configuration which is not known. */
constexpr Duration assumedStreamAge = seconds(30);

/** What the versions say that another instance names. */
enum class ConfigNews {
    None,
    /** There was one before the first one of this instance, which others need not know either. */
    Earlier,
    /** There was one between two of this instance. */
    Missed,
};

/**
 * How old the streams may be that callers resume. A stream may be older than the time limit of its route allows now: it
 * may have begun under an earlier configuration, or its caller may wait for longer than the route lets one request take.
 */
class StreamAges {
public:
    /** Time for which other instances may go on using a configuration or a server that was replaced here. */
    static constexpr Duration replacementDelay = seconds(5);
    /** Longer deadlines of callers count as this one. */
    static constexpr Duration maxCallerDeadline = seconds(60);
    /** Beyond this many routes, the earlier configurations count as unknown. */
    static constexpr std::size_t maxFormerRoutes = 4096;

    /** Records the first configuration of this instance. */
    void onFirstConfig(std::int64_t version);
    /**
     * Records that one configuration replaces another. Returns whether a stream that may still be resumed can have begun
     * at another service than those to which its request leads now.
     */
    bool onConfig(const RouteIndex& before, const RouteIndex& after, Instant now);
    /** To be called when configurations may have been in force that this instance does not know. */
    void onUnknownConfigs(Instant now) { m_unknown.add(assumedStreamAge, now + assumedStreamAge, now); }
    /** To be called when other instances have used a configuration that this one has not received; its streams may be as old as `age`. */
    void onMissedConfig(Instant now, Duration age);
    /** Takes the deadline of a caller that begins or resumes a stream of the route. */
    void onCallerDeadline(const Route&, Duration deadline, Instant now);
    /** Takes the longestCallerDeadline() of another instance. */
    void onReportedDeadline(Duration deadline, Instant now);

    /** The age of the oldest stream of the route that may be resumed, as far as its configurations are known. */
    Duration longestAge(const Route&, Instant now) const;
    /** The longest age of all streams that may be older than the present time limits allow; zero if there are none. */
    Duration longestFormerAge(Instant now) const;
    /** The longest deadline that callers of this instance lately named beyond what the time limit of their route covers; zero if there is none. */
    Duration longestCallerDeadline(Instant now) const { return m_ownDeadline.at(now); }
    /** Whether an unknown configuration may be that under which a stream began. */
    bool mayBeOfUnknownConfig(Instant now) const;

    /** The versions of the earlier configurations from which streams may remain; the latest ones if there are many. */
    std::vector<std::int64_t> formerVersions(Instant now) const;
    /** Takes the formerVersions() of another instance, or its present one. Each version is news once. */
    ConfigNews onVersionsOfOther(std::span<const std::int64_t>);

private:
    /** Host in lower case and path prefix. */
    using RouteKey = std::pair<std::string, std::string>;
    /** Streams that began at requests with the key's host and prefix, and that the present limits do not cover. */
    struct FormerStreams {
        std::set<ServiceName> services;
        Duration longestAge {};
        /** None of them lives after this time. */
        Instant until {};
    };

    /** The longest of several ages, each of which counts for a limited time. */
    struct Longest {
        Duration age {};
        Instant until {};

        void add(Duration newAge, Instant newUntil, Instant now);
        Duration at(Instant now) const { return now < until ? age : Duration::zero(); }
    };

    void add(const Route& limits, const RouteKey&, Duration age, Instant now);
    bool leadElsewhere(const Route&, Instant now) const;
    /** Calls `handle` for the former streams whose requests the route may take now. */
    template <typename Handler>
    void forOverlapping(const Route&, Instant now, Handler handle) const;
    void expire(Instant now);
    void addKnownVersion(std::int64_t);
    /** Whether others have named a version between the present one and this one. */
    bool skipsTo(std::int64_t version);

    std::map<RouteKey, FormerStreams> m_former;
    /** When the streams of an earlier configuration have ended, by its version. */
    std::map<std::int64_t, Instant> m_formerVersions;
    /** The first configuration of this instance. */
    std::optional<std::int64_t> m_firstVersion;
    /** Versions of the configurations that were in force here or that others have named, the latest ones. */
    std::set<std::int64_t> m_knownVersions;
    /** Versions that others have named and that are newer than the present one. */
    std::set<std::int64_t> m_laterVersions;
    /** Age of the streams of configurations that are not known. */
    Longest m_unknown;
    Longest m_missed;
    Longest m_ownDeadline;
    /** Of the callers of other instances. */
    Longest m_reportedDeadline;
};

} // namespace yuccashift
