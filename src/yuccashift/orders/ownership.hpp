#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace yuccashift {

/** A backend server and the region in which its service document places it. */
struct RegionalBackend {
    ServiceName service;
    BackendName backend;
    RegionName region;

    bool operator==(const RegionalBackend&) const = default;
    bool operator<(const RegionalBackend& other) const { return std::tie(service, backend, region) < std::tie(other.service, other.backend, other.region); }
};

/** An instance that may own backend servers. */
struct OwnerCandidate {
    InstanceId instance;
    RegionName region;

    bool operator==(const OwnerCandidate&) const = default;
};

/**
 * The instance that sends a backend server its orders: the candidate in the region
 * of the server with the highest rendezvous hash. std::nullopt if the region has no
 * candidate.
 */
std::optional<InstanceId> ownerOf(const RegionalBackend&, std::span<const OwnerCandidate>);

/** Times that control when an owner may act. */
struct OwnershipTiming {
    /** Time for which ownership must have lasted without interruption before the owner acts. */
    Duration settlingTime = seconds(5);
    /** A longer time between two updates counts as a pause of the process. */
    Duration maxUpdateGap = seconds(2);
};

/**
 * Tracks which backend servers this instance owns, and since when. Ownership that is
 * not renewed in time is void: after a pause of the process it has to settle again.
 */
class Ownership {
public:
    Ownership(InstanceId self, OwnershipTiming);

    /**
     * Updates the backend servers and the live instances. Must be called at least once
     * per OwnershipTiming::maxUpdateGap; cheap if nothing has changed.
     */
    void update(std::span<const RegionalBackend>, std::span<const OwnerCandidate>, Instant now);

    /** Since when this instance may send orders to the server; std::nullopt if it may not. */
    std::optional<Instant> actingSince(const RegionalBackend&, Instant now) const;

private:
    void recomputeOwned(Instant now);

    InstanceId m_self;
    OwnershipTiming m_timing;
    std::optional<Instant> m_updatedAt;
    std::map<RegionalBackend, Instant> m_ownedSince;
    /** Arguments of the update for which m_ownedSince was computed. */
    std::vector<RegionalBackend> m_backends;
    std::vector<OwnerCandidate> m_candidates;
};

} // namespace yuccashift
