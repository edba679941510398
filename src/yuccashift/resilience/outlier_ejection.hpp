#pragma once

#include "yuccashift/kernel/sharded_map.hpp"
#include "yuccashift/routing/types.hpp"

#include <span>

namespace yuccashift {

/** When a backend server is ejected, and for how long. */
struct EjectionSpec {
    /** Failures in a row. */
    std::uint32_t consecutiveFailures = 3;
    /** First ejection; doubled with each that follows soon after. */
    Duration baseDuration = seconds(2);
    Duration maxDuration = seconds(30);
    /** Share of the servers that is never ejected, in percent. */
    double minAvailablePercent = 50;
};

/**
 * Takes backend servers that keep failing out of the choice for a time. After
 * it a server is on probation: one failure ejects it again. Thread safe.
 */
class OutlierEjection {
public:
    explicit OutlierEjection(EjectionSpec = {});

    void onSuccess(const ServiceName&, const BackendName&, Instant now);
    /** A failure of the server itself: refused or lost connection, timeout; not a refusal for load. */
    void onFailure(const ServiceName&, const BackendName&, Instant now);
    /** Marks the ejected states, keeping the floor: the longest ejected come back first. */
    void apply(const ServiceName&, std::span<BackendState>, Instant now);

private:
    struct Server {
        std::uint32_t failures = 0;
        std::uint32_t ejections = 0;
        Instant ejectedAt;
        Instant until;
        bool probation = false;
    };
    using Servers = std::unordered_map<BackendName, Server>;

    void eject(Server&, Instant now) const;

    EjectionSpec m_spec;
    ShardedMap<ServiceName, Servers> m_services;
};

} // namespace yuccashift
