#pragma once

#include "yuccashift/dispatch/placement.hpp"
#include "yuccashift/dispatch/server_choice.hpp"
#include "yuccashift/dispatch/server_ownership.hpp"
#include "yuccashift/dispatch/server_tracker.hpp"
#include "yuccashift/entry/entry_settings.hpp"
#include "yuccashift/fleet/fleet_state.hpp"
#include "yuccashift/fleet/peer_table.hpp"
#include "yuccashift/kernel/random.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace yuccashift {

/** Key of a server's idle connections in the connection pool. */
std::string poolKeyOf(const BackendServer&);

/** A server chosen in this region, with the candidates that it was chosen from. */
struct LocalPlan {
    ServerChoice choice;
    std::vector<const BackendServer*> servers;
    std::vector<ServerCandidate> candidates;
    /** Whether requests for the service go through the owners of its servers. */
    bool viaOwner = false;
    /** Predicted prefill time of the part of the shared prefix that the chosen server has not cached. */
    Duration prefixPrefillTime {};

    /** If all servers that could take the request are full: the time until it is worth asking for a slot again. */
    std::optional<Duration> slotWait;
    /** If all servers asked for a rest: the time until the first of them takes requests again. */
    std::optional<Duration> restFor;

    /** Whether connections to some servers fail from here, and no other one can take the request. */
    bool unreachable() const { return !choice.best && std::ranges::any_of(candidates, &ServerCandidate::suspect); }
    /** Whether connections to all servers fail from here. */
    bool reachesNone() const { return !candidates.empty() && std::ranges::all_of(candidates, &ServerCandidate::suspect); }
    /** The chosen server, or nullptr if none can take the request. */
    const BackendServer* server() const { return choice.best ? servers[*choice.best] : nullptr; }
};

/** Other regions that may take the request; both vectors have one element per region, in the same order. */
struct RemotePlan {
    std::vector<RemoteRegionEstimate> candidates;
    /** The instance of each region that the request would be forwarded to. */
    std::vector<const PeerState*> peers;
};

/**
 * Plans where a request can run, from the published backend servers, their
 * load and the heartbeats of other instances.
 */
class DispatchPlanner {
public:
    DispatchPlanner(const Clock&, const EntrySettings&, const FleetState&, const ServerTracker&, const PeerTable&, RandomSource&);

    /** The home region of the request's shared prefix; std::nullopt if the request has no shared prefix or no reachable region serves it. */
    std::optional<RegionName> prefixHome(const AllowedRegions&, const ServiceName&, const WorkSize&) const;
    /** Chooses among this region's servers that may continue the stream. Those in `tried` have already been sent the request. */
    LocalPlan planLocal(const ServiceName&, const WorkSize&, Duration objective, const std::set<std::uint64_t>& tried, const StreamSoftware&, const std::optional<RegionName>& prefixHome) const;
    /** Plans for one given server, which this instance owns: nothing is chosen, but the server may be unable to take the request. */
    LocalPlan planAt(std::uint64_t server, const ServiceName&, const WorkSize&) const;
    /** The instance through which this one sends requests to the server; nullptr if it sends them itself, because it is the owner or cannot reach the owner. */
    const PeerState* remoteOwner(const BackendServer&, const std::set<InstanceId>& excluded) const;
    /** Whether requests to the server go through its owner, and this instance is the owner. */
    bool owns(std::uint64_t server) const;
    /**
     * Collects the other regions with free capacity and servers that may continue the stream. If this instance reaches no
     * server of its own region that could take the request, other instances of the region count as well, which may reach them.
     * If it reaches none at all, regions without free capacity count too, so that its callers queue like those there.
     * Draining instances count only for regions where no other one can take the request.
     * Instances in `tried` have already been sent the request.
     */
    RemotePlan planRemote(const AllowedRegions&, const ServiceName&, const WorkSize&, const std::set<InstanceId>& tried, const StreamSoftware&, const LocalPlan&, const std::optional<RegionName>& prefixHome) const;
    /** Whether connections fail to all servers of this region that this instance uses itself. */
    bool reachesNoServer() const;
    /** Whether the region has so many instances that each of them knows only a small part of what the servers were sent. */
    bool serversAreShared() const;
    /** Whether any allowed region has a server that may continue the stream. */
    bool canContinue(const AllowedRegions&, const ServiceName&, const StreamSoftware&) const;
    /** Capacity of each service in this region that has a usable server, as heartbeats report it to other regions. */
    std::map<ServiceName, ServiceCapacity> freeCapacity() const;
    /** Sets the mean age of what this instance knows of the load that others of its region put on servers. */
    void setKnowledgeAge(Duration age) { m_knowledgeAge = age; }
    /** How long a server that refused a request as full gets no other one from this instance. */
    Duration backOffAfterRefusal(std::uint64_t server) const;
    /** Whether the server is in this region, not leaving and not in an evacuated data centre. */
    bool isUsableLocally(const BackendServer&) const;

private:
    /** The server's region, or nullptr if it is unknown or the server is draining or evacuated. */
    const RegionName* servingRegion(const BackendServer&) const;
    /** Whether the peer may get hops: an earlier version would not name the organisation to a server. */
    bool namesOrganisations(const PeerState&) const;
    /** Whether the region is this one or has a live instance that is not draining. */
    bool hasReachableInstance(const RegionName&) const;
    ServerCandidate candidate(const BackendServer&, const ServiceConfig&, const WorkSize&, bool viaOwner) const;
    /** Candidates for a request among this region's servers, without a choice. */
    LocalPlan collectCandidates(const ServiceName&, const WorkSize&, const std::set<std::uint64_t>& tried, const StreamSoftware&) const;
    /** Regions that have a server of the service that may continue the stream. */
    std::set<RegionName> regionsThatContinue(const ServiceName&, const StreamSoftware&) const;
    /** The owners of this region's servers among the instances that are active now. */
    const ServerOwnership& ownership() const;
    bool isOwner(const BackendServer&) const;
    /**
     * Whether requests for the service go through the owners of its servers: the region has many instances and the
     * servers few slots. Where each instance uses several slots, their number evens out what it does not know of the others.
     */
    bool forwardsToOwners(const ServiceName&) const;
    /** Limits the request to a random sample of the servers, if many instances share them. */
    void sampleCandidates(std::span<ServerCandidate>, const WorkSize&, std::size_t sampleSize) const;
    /** Whether this instance owns the cold server and its rate allows another request now. */
    bool warmUpAllowed(const BackendServer&, const ServerStatus&, const ServiceConfig&) const;
    /** Whether the server's rate limit, if it named one, leaves this instance a request now. */
    bool withinRateLimit(const BackendServer&, bool viaOwner) const;
    /** Whether this instance may send another request to a brittle server, so that all together do not overfill it. */
    bool withinBrittleShare(const BackendServer&, const ServerStatus&, bool viaOwner) const;
    /** Samples one server in proportion to the slots: of a few servers, all instances would choose the one that seemed best a moment ago. */
    void sampleOne(std::span<ServerCandidate>) const;
    /** Share of a server's connection limit that this instance may use. */
    double usableConnections(const BackendServer&, bool viaOwner) const;
    /** Fills in what follows from the choice. */
    static void describeChoice(LocalPlan&, const WorkSize&);

    /** Up to this many instances know each other's loads well enough for each to use the best server itself. */
    static constexpr std::size_t maxInstancesKnowingLoads = 4;
    /** From this many slots for each instance on, requests go to the servers directly. */
    static constexpr std::size_t slotsPerInstanceWithoutOwners = 4;

    const Clock& m_clock;
    const EntrySettings& m_settings;
    const FleetState& m_fleetState;
    const ServerTracker& m_serverTracker;
    const PeerTable& m_peerTable;
    RandomSource& m_random;
    /** Mean age of what heartbeats tell of other instances' load; until it is set, that of heartbeats ten times a second. */
    Duration m_knowledgeAge = milliseconds(50);
    mutable ServerOwnership m_ownership;
    mutable std::optional<Instant> m_ownershipUpdatedAt;
    mutable bool m_reachesNoServer = false;
    mutable std::optional<Instant> m_reachabilityUpdatedAt;
};

} // namespace yuccashift
