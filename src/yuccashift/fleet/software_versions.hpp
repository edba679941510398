#pragma once

#include "yuccashift/answers/stream_software.hpp"
#include "yuccashift/kernel/clock.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace yuccashift {

/** For how long each service has had only one software version, as one instance has followed it. */
struct SingleSoftware {
    /** Combines the software of all servers; instances that know the same versions have the same digest. */
    std::uint64_t digest = 0;
    /** Zero while a service has several versions; negative if the instance may have missed changes and says nothing. */
    Duration duration {};
    /** The longest age of streams that may be older than the present time limits allow. */
    Duration formerStreamAge {};
};

/** What a conclusion about the software may rest on. */
enum class SoftwareEvidence {
    /** What this instance has followed, or what others have reported. */
    Any,
    ReportsOfOthers,
};

/** Which software the servers of each service run, and ran lately. */
class SoftwareVersions {
public:
    /** To be called before any server is added, when the whole system starts for the first time: no stream is older than that. */
    void onFirstStart(Instant now);
    void onServerAdded(const ServiceName&, SoftwareId, Instant now);
    void onServerRemoved(const ServiceName&, SoftwareId, Instant now);
    /** To be called when requests of a streaming route begin to go to other services than before. */
    void onRoutesMoved(Instant now);
    /** To be called when their earlier services are not known here, though others may know them. */
    void onRoutesUnknown(Instant now);

    /** To be called when servers may have come and gone that the instance does not know of: it follows them anew from now on. */
    void onMissedChanges(Instant now);

    /** Takes the digest of an instance that knows no later changes. A version that this one does not know has come and gone meanwhile. */
    void onDigestOfOther(std::uint64_t digest, Instant now);

    /** Number of versions that the servers of one service run now; the largest of all services. */
    std::size_t mostInOneService() const;
    /** What heartbeats tell other instances. */
    SingleSoftware singleSoftware(Instant now) const;
    /** To be called when those who reported may have missed something. */
    void forgetReports() { m_reports.clear(); }
    /**
     * Takes what another instance has followed, which may be longer than this one has run.
     *
     * @param reporter identifies one run of that instance, whose last report counts
     */
    void onReport(const SingleSoftware&, Instant now, std::uint64_t reporter = 0);
    /**
     * The software of a service that has had no other one for `period`. This instance must have followed the published
     * servers for that long, or know the same versions as another instance that has.
     */
    std::optional<SoftwareId> onlySoftware(const ServiceName&, Duration period, Instant now, SoftwareEvidence = SoftwareEvidence::Any) const;

private:
    struct Presence {
        std::size_t servers = 0;
        Instant lastSeen {};
    };
    struct Report {
        std::uint64_t digest = 0;
        Instant singleSince {};
        Duration formerStreamAge {};
    };

    /** Whether the digest combines versions that this instance knows, whenever they served. */
    bool isOfKnownVersions(std::uint64_t digest) const;
    bool isReportedSingle(Duration period, Instant now) const;
    /** Since when this instance has followed both the servers and the routes without a move; std::nullopt before that. */
    std::optional<Instant> followedSince() const;
    /** Since when each service that has servers has had only one version and no route has moved; std::nullopt while a service has several. */
    std::optional<Instant> singleSince() const;

    std::map<ServiceName, std::map<SoftwareId, Presence>> m_services;
    std::uint64_t m_digest = 0;
    /** Digests of others with versions that this instance has missed, the latest ones. */
    std::deque<std::uint64_t> m_missedDigests;
    std::optional<Instant> m_followingSince;
    std::optional<Instant> m_routesMovedAt;
    std::optional<Instant> m_routesUnknownSince;
    /** By the run of the reporting instance. Those of runs that have ended stay. */
    std::map<std::uint64_t, Report> m_reports;
};

} // namespace yuccashift
