#pragma once

#include "yuccashift/entry/forwarding.hpp"
#include "yuccashift/entry/hop.hpp"
#include "yuccashift/entry/protocol_codec.hpp"
#include "yuccashift/fleet/route_config.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/error.hpp"

#include <memory>

namespace yuccashift {

/** A request with its route and its times. */
struct ResolvedRequest {
    RequestMetadata metadata;
    /** Keeps the route alive while a newer configuration comes into force. */
    std::shared_ptr<const RouteIndex> routes;
    const Route* route = nullptr;
    /** The organisation that asks; nullptr if the route needs no credential. */
    const OrganisationSpec* organisation = nullptr;
    /** What the request counts against the organisation's limit over all instances. */
    double fleetLimitCost = 0;
    ServiceName service;
    /** When the complete answer is due. */
    Instant deadline {};
    /** When the first byte is due under the latency objective. */
    Instant firstByteDueAt {};

    CallerIdentity callerIdentity() const { return routes->config().identifiesCallers ? CallerIdentity::Withheld : CallerIdentity::Forwarded; }
    AllowedRegions allowedRegions() const { return { *route, organisation }; }
    /** Priority level; 0 is the highest. The organisation's goes before the route's. */
    std::uint32_t priority() const { return organisation && organisation->priority ? *organisation->priority : route->priority; }
};

/**
 * Finds the route of a request that arrived at an instance of `region`, and derives its times. Returns UnknownRoute,
 * MalformedRequest, Unauthenticated if the route needs a credential that the configuration holds, or NotReady if no
 * configuration is known or if it disagrees with that of the request's origin.
 * @param hop set if another instance forwarded the request
 */
Result<ResolvedRequest> resolveRequest(const RequestMessage&, RequestMetadata, std::shared_ptr<const RouteIndex>, const RegionName& region, const HopMetadata* hop, Instant arrivedAt);

} // namespace yuccashift
