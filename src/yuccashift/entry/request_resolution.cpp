#include "yuccashift/entry/request_resolution.hpp"

#include "yuccashift/kernel/hash.hpp"

#include <algorithm>
#include <utility>

namespace yuccashift {

namespace {

    void setTimes(ResolvedRequest& resolved, const HopMetadata* hop, Instant arrivedAt)
    {
        if (hop) {
            resolved.deadline = arrivedAt + hop->deadline;
            resolved.firstByteDueAt = arrivedAt + hop->objective;
            return;
        }
        const auto& route = *resolved.route;
        resolved.deadline = arrivedAt + std::min(resolved.metadata.deadline.value_or(route.timeLimit), route.timeLimit);
        resolved.firstByteDueAt = arrivedAt + route.latencyObjective;
    }

    /** Finds the organisation that asks: by the caller's credential, or by the name that the origin sends. */
    Result<void> identifyOrganisation(ResolvedRequest& resolved, const HopMetadata* hop)
    {
        const auto& organisations = resolved.routes->organisations();
        const bool named = hop && hop->organisation;
        if (!named && !resolved.route->requiresCredential)
            return {};
        if (named)
            resolved.organisation = organisations.findByName(*hop->organisation);
        else
            // A hop has a credential only if its origin runs an earlier version, which names no organisation.
            resolved.organisation = organisations.findByCredential(std::exchange(resolved.metadata.credential, {}));
        if (!resolved.organisation && hop)
            return fail(ErrorKind::NotReady, "the two instances know different organisations");
        if (!resolved.organisation)
            return fail(ErrorKind::Unauthenticated);
        resolved.fleetLimitCost = costOf(resolved.organisation->fleetLimit, resolved.metadata.statedTokens);
        return {};
    }

} // namespace

Result<ResolvedRequest> resolveRequest(const RequestMessage& request, RequestMetadata metadata, std::shared_ptr<const RouteIndex> routes, const RegionName& region, const HopMetadata* hop, Instant arrivedAt)
{
    if (!routes)
        return fail(ErrorKind::NotReady);
    const auto host = findHeader(request.headers, "Host");
    if (!host)
        return fail(ErrorKind::MalformedRequest, "a request without a host");
    ResolvedRequest resolved;
    resolved.metadata = std::move(metadata);
    resolved.routes = std::move(routes);
    resolved.route = resolved.routes->find(*host, request.target);
    if (!resolved.route || resolved.route->services.empty()) {
        // The origin resolved the route with a configuration that has not arrived here yet.
        return fail(hop ? ErrorKind::NotReady : ErrorKind::UnknownRoute);
    }
    const auto& route = *resolved.route;
    if (const auto identified = identifyOrganisation(resolved, hop); !identified)
        return tl::unexpected(identified.error());
    if (hop && (!route.usesService(hop->service) || !resolved.allowedRegions().allows(region)))
        return fail(ErrorKind::NotReady, "the two instances hold different configurations");
    resolved.service = hop ? hop->service : route.pickService(hash64(resolved.metadata.attemptId));
    resolved.metadata.work.priority = std::min<std::size_t>(resolved.priority(), priorityLevels - 1);
    if (hop)
        resolved.metadata.resumeAfter = hop->resumeAfter;
    setTimes(resolved, hop, arrivedAt);
    return resolved;
}

} // namespace yuccashift
