#pragma once

#include "yuccashift/dispatch/placement.hpp"
#include "yuccashift/dispatch/server_book.hpp"
#include "yuccashift/dispatch/server_choice.hpp"
#include "yuccashift/entry/entry_settings.hpp"
#include "yuccashift/fleet/member_book.hpp"
#include "yuccashift/fleet/world.hpp"
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
    Duration rereading {};

    const BackendServer* server() const { return choice.best ? servers[*choice.best] : nullptr; }
};

/** The choice among other regions. */
struct RemotePlan {
    std::vector<RemoteRoom> rooms;
    /** One instance of each room's region. */
    std::vector<const FleetMember*> members;
};

/** Joins entries, loads and heartbeats into what the decisions need. */
class Dispatcher {
public:
    Dispatcher(const Clock&, const EntrySettings&, const World&, const ServerBook&, const MemberBook&, RandomSource&);

    /** The region where requests with this one's shared prefix meet; nothing where it has none. */
    std::optional<RegionName> prefixHome(const Route&, const ServiceName&, const WorkSize&) const;
    LocalPlan planLocal(const ServiceName&, const WorkSize&, Duration objective, const std::set<std::uint64_t>& tried, const std::optional<RegionName>& prefixHome) const;
    RemotePlan planRemote(const Route&, const ServiceName&, const WorkSize&, const std::set<InstanceId>& tried, const std::optional<RegionName>& prefixHome) const;
    /** What heartbeats tell about this region. */
    std::map<ServiceName, ServiceRoomView> rooms() const;
    /** Whether the server stands in this region and may be sent to. */
    bool serves(const BackendServer&) const;
    /** Instances that share the servers of this region. */
    std::size_t sharers() const;

private:
    /** Nothing where the server may not be sent to. */
    const RegionName* servingRegion(const BackendServer&) const;
    /** Whether requests may go on to some instance of the region, or it is this one. */
    bool reaches(const RegionName&) const;
    ServerCandidate candidate(const BackendServer&, const ServiceTraits&, const WorkSize&, std::span<const InstanceId> owners) const;
    /**
     * Each shared prefix has one server of the region where all instances expect
     * it, so that they read it once without telling each other.
     */
    static void expectPrefixAtItsHome(std::span<ServerCandidate>, const WorkSize&);
    void leaveOutForSpread(std::span<ServerCandidate>, const WorkSize&, std::size_t sharers) const;
    bool coldTurn(const BackendServer&, const ServerKnowledge&, const ServiceTraits&, std::span<const InstanceId> owners) const;

    const Clock& m_clock;
    const EntrySettings& m_settings;
    const World& m_world;
    const ServerBook& m_book;
    const MemberBook& m_members;
    RandomSource& m_random;
};

} // namespace yuccashift
