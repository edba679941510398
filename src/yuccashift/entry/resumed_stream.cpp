#include "yuccashift/entry/resumed_stream.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** No event that a caller has is older when the caller resumes the stream; its tries share one deadline. */
    Duration longestStreamAge(const Route& route)
    {
        return 2 * route.timeLimit;
    }

} // namespace

bool isInStep(const FleetState& fleet, const PeerTable& peers, Instant since)
{
    const StorePosition own { fleet.replica().era(), fleet.replica().revision() };
    if (!fleet.isConfirmed() || peers.newestKnownPosition() > own)
        return false;
    return peers.hearsOthersSince(since) || *fleet.confirmedAt() >= since;
}

SoftwareId presumedSoftware(const FleetState& fleet, const Route& route, const ServiceName& service, Instant now)
{
    return fleet.softwareVersions().onlySoftware(service, longestStreamAge(route), now).value_or(0);
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
