#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/sharded_map.hpp"
#include "yuccashift/limits/token_bucket.hpp"

#include <atomic>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace yuccashift {

/** Identifies the demand of one organisation for one service on the wire. */
std::int64_t demandKey(const ServiceName&, const OrganisationName&);

/** Demand that an instance receives for one service and organisation, as reported to its peers. */
struct DemandRate {
    std::int64_t key = 0;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
};

/**
 * Enforces the limits of organisations across all instances without shared state.
 * Each instance uses a share of a limit in proportion to its share of the total
 * demand; the demand that a peer last reported stays reserved for that peer.
 * While demand is steady, instances that reach each other stay within the limit
 * together. During a network partition each side does so on its own, so that n
 * sides admit at most n times the limit. Thread safe.
 */
class SharedLimits {
public:
    explicit SharedLimits(InstanceId self);

    /**
     * Sets the instances that the platform lists, including this one. Demands
     * reported by peers that are not listed are dropped.
     */
    void setInstances(std::span<const InstanceId>);
    /**
     * Updates demands that a peer reported. A report may hold only part of the
     * peer's demands, in any order: a demand that is left out keeps its last value
     * and expires once the peer has sent reports without it for a while. A demand
     * of zero requests per second removes it at once.
     */
    void onPeerDemand(const InstanceId&, std::span<const DemandRate>, Instant now);
    /** This instance's demands, largest first, at most maxCount. */
    std::vector<DemandRate> largestDemands(std::size_t maxCount, Instant now);
    /**
     * This instance's demands for the next heartbeat, at most maxCount: first those
     * that changed most since they were last sent, then those sent longest ago.
     * Records them as sent.
     */
    std::vector<DemandRate> takeDemands(std::size_t maxCount, Instant now);

    /** Admits one request, or fails with LimitExceeded and the time after which to retry. */
    Result<void> admit(const ServiceName&, const OrganisationSpec&, Instant now);
    /** Charges generated tokens to the token limit, once their number is known. */
    void chargeTokens(const ServiceName&, const OrganisationSpec&, double tokens, Instant now);
    /** Ends an admitted request; it no longer counts as in progress. */
    void onFinish(const ServiceName&, const OrganisationSpec&);

    /** Share of the organisation's limit that this instance uses now, in (0, 1]. */
    double share(const ServiceName&, const OrganisationName&, Instant now);

private:
    /** Rate of events, smoothed by exponential decay. */
    struct Rate {
        double perSecond = 0;
        Instant updatedAt;
        void add(double amount, Instant now);
        double value(Instant now) const;
    };
    struct PeerDemand {
        double requestsPerSecond = 0;
        Instant reportedAt;
    };
    struct Entry {
        Rate requestRate;
        Rate tokenRate;
        std::uint32_t inProgress = 0;
        std::optional<TokenBucket> requestBucket;
        std::optional<TokenBucket> tokenBucket;
        std::unordered_map<InstanceId, PeerDemand> peers;
        /** Request rate in the last heartbeat that carried this demand, and when it was sent. */
        double sentRequestsPerSecond = 0;
        Instant sentAt;
    };
    struct HeartbeatCandidate {
        DemandRate rate;
        double relativeChange = 0;
        Instant sentAt;
    };

    double shareOf(const Entry&, Instant now) const;
    std::vector<HeartbeatCandidate> heartbeatCandidates(Instant now);
    static void updateBucket(std::optional<TokenBucket>&, double rate, Instant now);

    InstanceId m_self;
    std::atomic<std::size_t> m_instances { 1 };
    ShardedMap<std::int64_t, Entry> m_entries;
};

} // namespace yuccashift
