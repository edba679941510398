#pragma once

#include "yuccashift/answers/stream_software.hpp"
#include "yuccashift/kernel/clock.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace yuccashift {

/** Which software the servers of each service run, and ran lately. */
class SoftwareVersions {
public:
    void onServerAdded(const ServiceName&, SoftwareId, Instant now);
    void onServerRemoved(const ServiceName&, SoftwareId, Instant now);

    /** Number of versions that the servers of one service run now; the largest of all services. */
    std::size_t mostInOneService() const;
    /**
     * The software of a service that has had no other one for `period`, as far as this instance can tell: it must have
     * followed the published servers for that long.
     */
    std::optional<SoftwareId> onlySoftware(const ServiceName&, Duration period, Instant now) const;

private:
    struct Presence {
        std::size_t servers = 0;
        Instant lastSeen {};
    };
    std::map<ServiceName, std::map<SoftwareId, Presence>> m_services;
    std::optional<Instant> m_followingSince;
};

} // namespace yuccashift
