#pragma once

#include "yuccashift/answers/stream_software.hpp"
#include "yuccashift/kernel/clock.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace yuccashift {

/** For how long each service has had only one software version, as one instance has followed it. */
struct SingleSoftware {
    /** Combines the software of all servers; instances that know the same versions have the same digest. */
    std::uint64_t digest = 0;
    /** Zero while a service has several versions. */
    Duration duration {};
};

/** Which software the servers of each service run, and ran lately. */
class SoftwareVersions {
public:
    /** To be called before any server is added, when the whole system starts for the first time: no stream is older than that. */
    void onFirstStart(Instant now);
    void onServerAdded(const ServiceName&, SoftwareId, Instant now);
    void onServerRemoved(const ServiceName&, SoftwareId, Instant now);
    /** To be called when requests of a streaming route begin to go to other services than before, or their earlier services are not known. */
    void onRoutesMoved(Instant now);

    /** To be called when servers may have come and gone that the instance does not know of: it follows them anew from now on. */
    void onMissedChanges(Instant now);

    /** Number of versions that the servers of one service run now; the largest of all services. */
    std::size_t mostInOneService() const;
    /** What heartbeats tell other instances. */
    SingleSoftware singleSoftware(Instant now) const;
    /** Takes what another instance has followed, which may be longer than this one has run. */
    void onReport(const SingleSoftware&, Instant now);
    /**
     * The software of a service that has had no other one for `period`. This instance must have followed the published
     * servers for that long, or know the same versions as another instance that has.
     */
    std::optional<SoftwareId> onlySoftware(const ServiceName&, Duration period, Instant now) const;

private:
    struct Presence {
        std::size_t servers = 0;
        Instant lastSeen {};
    };
    /** Since when each service that has servers has had only one version and no route has moved; std::nullopt while a service has several. */
    std::optional<Instant> singleSince() const;

    std::map<ServiceName, std::map<SoftwareId, Presence>> m_services;
    std::uint64_t m_digest = 0;
    std::optional<Instant> m_followingSince;
    std::optional<Instant> m_routesMovedAt;
    /** singleSince() of the instance that has followed it for longest, for the digest that it named. */
    std::optional<Instant> m_reportedSingleSince;
    std::uint64_t m_reportedDigest = 0;
};

} // namespace yuccashift
