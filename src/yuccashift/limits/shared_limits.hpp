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

/** Names one organisation's use of one service on the wire. */
std::int64_t demandKey(const ServiceName&, const OrganisationName&);

/** Rates that an instance was asked for, as it tells its peers. */
struct DemandRate {
    std::int64_t key = 0;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
};

/**
 * Limits of organisations held by all instances together without shared state.
 * Each instance uses the share of a limit that its demand has in the demand of
 * all; the demand that an instance was last heard with stays reserved for it.
 * Instances that hear each other keep the limit while demand is steady; sides
 * that do not hear each other keep it each, so n sides admit n times at most.
 * Thread safe.
 */
class SharedLimits {
public:
    explicit SharedLimits(InstanceId self);

    /** All instances that the platform lists, this one included. */
    void setInstances(std::span<const InstanceId>);
    /**
     * Some of a peer's demands, in no order and not all of them: one that it
     * does not name now stays as it was told last, until the peer has not named
     * it for long. A demand of nothing ends one.
     */
    void onPeerDemand(const InstanceId&, std::span<const DemandRate>, Instant now);
    /** Own demands, largest first, at most so many. */
    std::vector<DemandRate> largestDemands(std::size_t most, Instant now);
    /** Own demands for the next heartbeat, at most so many: those that changed most since they were told, then those told longest ago. */
    std::vector<DemandRate> takeDemands(std::size_t most, Instant now);

    /** Admits one request, or fails with LimitExceeded and the time to come back. */
    Result<void> admit(const ServiceName&, const OrganisationSpec&, Instant now);
    /** Charges generated tokens once they are known. */
    void chargeTokens(const ServiceName&, const OrganisationSpec&, double tokens, Instant now);
    /** Ends a request that was admitted. */
    void onFinish(const ServiceName&, const OrganisationSpec&);

    /** Share of the organisation's limit that this instance uses now, in (0, 1]. */
    double share(const ServiceName&, const OrganisationName&, Instant now);

private:
    /** Smoothed rate of events. */
    struct Rate {
        double perSecond = 0;
        Instant at;
        void add(double amount, Instant now);
        double value(Instant now) const;
    };
    struct PeerDemand {
        double requestsPerSecond = 0;
        Instant heardAt;
    };
    struct Entry {
        Rate requests;
        Rate tokens;
        std::uint32_t inProgress = 0;
        std::optional<TokenBucket> requestBucket;
        std::optional<TokenBucket> tokenBucket;
        std::unordered_map<InstanceId, PeerDemand> peers;
        /** What the last heartbeat that named it said, and when. */
        double toldRequests = 0;
        Instant toldAt;
    };
    struct Untold {
        DemandRate rate;
        double changed = 0;
        Instant toldAt;
    };

    double shareOf(const Entry&, Instant now) const;
    std::vector<Untold> untold(Instant now);
    static void refit(std::optional<TokenBucket>&, double rate, Instant now);

    InstanceId m_self;
    std::atomic<std::size_t> m_instances { 1 };
    ShardedMap<std::int64_t, Entry> m_entries;
};

} // namespace yuccashift
