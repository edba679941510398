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
    void updateSingle(Instant now);

    std::map<ServiceName, std::map<SoftwareId, Presence>> m_services;
    std::uint64_t m_digest = 0;
    std::optional<Instant> m_followingSince;
    /** Whether a service has had several versions at once since `m_followingSince`. */
    bool m_hadSeveral = false;
    /** Since when each service has had only one version; std::nullopt while one has several. */
    std::optional<Instant> m_singleSince;
    /** The same as the instance that has followed it for longest reported it, for the digest that it named. */
    std::optional<Instant> m_reportedSingleSince;
    std::uint64_t m_reportedDigest = 0;
};

} // namespace yuccashift
