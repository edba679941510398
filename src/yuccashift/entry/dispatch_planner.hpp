#pragma once

#include "yuccashift/dispatch/placement.hpp"
#include "yuccashift/dispatch/server_choice.hpp"
#include "yuccashift/dispatch/server_tracker.hpp"
#include "yuccashift/entry/entry_settings.hpp"
#include "yuccashift/fleet/fleet_state.hpp"
#include "yuccashift/fleet/peer_table.hpp"
#include "yuccashift/kernel/random.hpp"

#include <set>

namespace yuccashift {

/** Key of a server's kept connections. */
std::string poolKeyOf(const BackendServer&);

/** The choice among the servers of this region, with what it rests on. */
struct LocalPlan {
    ServerChoice choice;
    std::vector<const BackendServer*> servers;
    std::vector<ServerCandidate> candidates;
    /** Reading at the chosen server what of the shared prefix it does not hold. */
    Duration prefixPrefillTime {};

    const BackendServer* server() const { return choice.best ? servers[*choice.best] : nullptr; }
};

/** The choice among other regions. */
struct RemotePlan {
    std::vector<RemoteRegionEstimate> candidates;
    /** One instance of each room's region. */
    std::vector<const PeerState*> peers;
};

/** Joins entries, loads and heartbeats into what the decisions need. */
class DispatchPlanner {
public:
    DispatchPlanner(const Clock&, const EntrySettings&, const FleetState&, const ServerTracker&, const PeerTable&, RandomSource&);

    /** The region where requests with this one's shared prefix meet; nothing where it has none. */
    std::optional<RegionName> prefixHome(const Route&, const ServiceName&, const WorkSize&) const;
    LocalPlan planLocal(const ServiceName&, const WorkSize&, Duration objective, const std::set<std::uint64_t>& tried, const std::optional<RegionName>& prefixHome) const;
    RemotePlan planRemote(const Route&, const ServiceName&, const WorkSize&, const std::set<InstanceId>& tried, const std::optional<RegionName>& prefixHome) const;
    /** What heartbeats tell about this region. */
    std::map<ServiceName, ServiceCapacity> freeCapacity() const;
    /** Whether the server stands in this region and may be sent to. */
    bool isUsableLocally(const BackendServer&) const;
    /** Instances that share the servers of this region. */
    std::size_t sharers() const;

private:
    /** Nothing where the server may not be sent to. */
    const RegionName* servingRegion(const BackendServer&) const;
    /** Whether requests may go on to some instance of the region, or it is this one. */
    bool reaches(const RegionName&) const;
    ServerCandidate candidate(const BackendServer&, const ServiceConfig&, const WorkSize&, std::span<const InstanceId> owners) const;
    /**
     * Each shared prefix has one server of the region where all instances expect
     * it, so that they read it once without telling each other.
     */
    static void expectPrefixAtItsHome(std::span<ServerCandidate>, const WorkSize&);
    void leaveOutForSpread(std::span<ServerCandidate>, const WorkSize&, std::size_t sharers) const;
    bool warmUpAllowed(const BackendServer&, const ServerStatus&, const ServiceConfig&, std::span<const InstanceId> owners) const;

    const Clock& m_clock;
    const EntrySettings& m_settings;
    const FleetState& m_world;
    const ServerTracker& m_book;
    const PeerTable& m_members;
    RandomSource& m_random;
};

} // namespace yuccashift
