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

/** A backend server and the region that its document places it in. */
struct RegionalBackend {
    ServiceName service;
    BackendName backend;
    RegionName region;

    bool operator==(const RegionalBackend&) const = default;
    bool operator<(const RegionalBackend& other) const { return std::tie(service, backend, region) < std::tie(other.service, other.backend, other.region); }
};

/** An instance that takes part in owning backend servers. */
struct OwnerCandidate {
    InstanceId instance;
    RegionName region;

    bool operator==(const OwnerCandidate&) const = default;
};

/**
 * The instance that gives a backend server its orders: the highest
 * rendezvous hash among the candidates of the server's region. Nothing where
 * the region has none.
 */
std::optional<InstanceId> ownerOf(const RegionalBackend&, std::span<const OwnerCandidate>);

/** Times that bound how soon an owner acts. */
struct OwnershipTiming {
    /** Ownership must have held this long without a break. */
    Duration settlingTime = seconds(5);
    /** A longer silence between two views counts as a pause of the process. */
    Duration maxUpdateGap = seconds(2);
};

/**
 * Which backend servers this instance owns, and since when. A belief that was
 * not renewed in time is worth nothing: after a pause ownership settles anew.
 */
class Ownership {
public:
    Ownership(InstanceId self, OwnershipTiming);

    /** Takes the present view of live instances. Call it at least once per maxGap; cheap while nothing changes. */
    void update(std::span<const RegionalBackend>, std::span<const OwnerCandidate>, Instant now);

    /** Since when this instance may act for the server; nothing where it may not. */
    std::optional<Instant> actingSince(const RegionalBackend&, Instant now) const;

private:
    void choose(Instant now);

    InstanceId m_self;
    OwnershipTiming m_timing;
    std::optional<Instant> m_updatedAt;
    std::map<RegionalBackend, Instant> m_ownedSince;
    /** What the owned ones were chosen from. */
    std::vector<RegionalBackend> m_backends;
    std::vector<OwnerCandidate> m_candidates;
};

} // namespace yuccashift
