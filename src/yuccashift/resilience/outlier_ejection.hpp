#pragma once

#include "yuccashift/kernel/sharded_map.hpp"
#include "yuccashift/routing/types.hpp"

#include <span>

namespace yuccashift {

/** Thresholds and durations of the ejection of backend servers. */
struct EjectionSpec {
    /** Consecutive failures after which a server is ejected. */
    std::uint32_t consecutiveFailures = 3;
    /** Duration of the first ejection; doubled with each that follows soon after. */
    Duration baseDuration = seconds(2);
    /** Maximum duration; a success this long after the end of the last ejection resets the doubling. */
    Duration maxDuration = seconds(30);
    /** Percentage of the servers that is always kept available. */
    double minAvailablePercent = 50;
};

/**
 * Excludes backend servers that keep failing from selection for a limited time.
 * After that a server is on probation: one failure ejects it again. Thread safe.
 */
class OutlierEjection {
public:
    explicit OutlierEjection(EjectionSpec = {});

    void onSuccess(const ServiceName&, const BackendName&, Instant now);
    /** Records a failure of the server itself: a refused or lost connection or a timeout, but not a refusal because of load. */
    void onFailure(const ServiceName&, const BackendName&, Instant now);
    /**
     * Marks the states of ejected servers as such and sets availableSince for servers on
     * probation. If too few servers would remain, those ejected longest ago stay available.
     */
    void apply(const ServiceName&, std::span<BackendState>, Instant now);

private:
    struct Server {
        std::uint32_t failures = 0;
        std::uint32_t ejections = 0;
        Instant ejectedAt;
        Instant ejectedUntil;
        bool probation = false;
    };
    using Servers = std::unordered_map<BackendName, Server>;

    void eject(Server&, Instant now) const;

    EjectionSpec m_spec;
    ShardedMap<ServiceName, Servers> m_services;
};

} // namespace yuccashift
