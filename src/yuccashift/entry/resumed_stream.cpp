#include "yuccashift/entry/resumed_stream.hpp"

#include <algorithm>

namespace yuccashift {

bool isInStep(const FleetState& fleet, const PeerTable& peers, Instant since)
{
    const StorePosition own { fleet.replica().era(), fleet.replica().revision() };
    if (!fleet.isConfirmed() || peers.newestKnownPosition() > own)
        return false;
    return peers.hearsOthersSince(since) || *fleet.confirmedAt() >= since;
}

SoftwareId presumedSoftware(const FleetState& fleet, const Route& route, const ServiceName& service, Instant now)
{
    const auto& ages = fleet.streamAges();
    const auto evidence = ages.mayBeOfUnknownConfig(now) ? SoftwareEvidence::ReportsOfOthers : SoftwareEvidence::Any;
    return fleet.softwareVersions().onlySoftware(service, ages.longestAge(route, now), now, evidence).value_or(0);
}

SoftwareId softwareWithoutRecord(const FleetState& fleet, const Route& route, Instant now)
{
    // A route with several services may have begun the stream at any of them.
    return route.services.size() == 1 ? presumedSoftware(fleet, route, route.services.front().service, now) : 0;
}

const ServiceName* serviceWith(const FleetState& fleet, const Route& route, SoftwareId software)
{
    const auto& servers = fleet.servers();
    const auto it = std::ranges::find_if(servers, [&](const auto& entry) { return entry.second.software == software && route.usesService(entry.second.service); });
    return it == servers.end() ? nullptr : &it->second.service;
}

} // namespace yuccashift
