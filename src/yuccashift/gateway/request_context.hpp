#pragma once

#include "yuccashift/config/route_table.hpp"
#include "yuccashift/http/message.hpp"
#include "yuccashift/observe/trace.hpp"
#include "yuccashift/routing/types.hpp"

#include <memory>
#include <string>

namespace yuccashift::wire {
class Forward;
} // namespace yuccashift::wire

namespace yuccashift {

/** Way that a request has come so far. */
struct RequestOrigin {
    InstanceId instance;
    RegionName region;
    /** Hops between regions; at most one. */
    std::int32_t regionHops = 0;
    /** Hops inside a region; at most one. */
    std::int32_t localHops = 0;
};

/** A request and all that was learned of it on arrival. */
struct RequestContext {
    RequestMessage message;
    ResolvedRoute resolved;
    /** Points into resolved.document. */
    const OrganisationSpec* organisation = nullptr;
    RequestTraits traits;
    TraceContext trace;
    RequestOrigin origin;
    /** Names the request at engines; unique for each request of a caller. */
    std::string requestId;
    /** Idempotency key to be checked against its minter; empty where there is none, or where the minter sent the request. */
    std::string key;
    /** Idempotency key for the backend server. */
    std::string backendKey;
    std::uint64_t fingerprint = 0;
    /** Whole tokens that the caller already has. */
    std::uint32_t resumeOffset = 0;
    /** Whether the caller asked for server-sent events. */
    bool streaming = false;

    const Document& document() const { return *resolved.document; }
    const RouteSpec& route() const { return *resolved.route; }
};

using RequestContextPtr = std::shared_ptr<const RequestContext>;

/** Regions that may serve the organisation: its residency, or those of the service where it has none. */
const std::vector<RegionName>& allowedRegions(const Document&, const OrganisationSpec&);

/** What identifies the place and time of arrival. */
struct Arrival {
    InstanceId instance;
    RegionName region;
    Instant now;
    TraceContext trace;
    std::string requestId;
};

/**
 * Resolves and authenticates a caller's request. Headers by which a caller
 * could claim priority, origin or organisation are dropped.
 */
Result<RequestContext> admitRequest(const RouteTable&, RequestMessage, const Arrival&);

/**
 * Resolves a request that another instance sent, against this instance's own
 * documents. ResidencyViolation and HopLimit where they disagree.
 */
Result<RequestContext> admitForward(const RouteTable&, const wire::Forward&, const Arrival&);

/** What another instance is asked to do with a request. */
enum class ForwardPurpose {
    /** Run it on one of its backend servers. */
    Execute,
    /** Check its idempotency key, as the instance that minted it. */
    CheckKey,
};

/** The request as it is sent to another instance. */
wire::Forward makeForward(const RequestContext&, ForwardPurpose, Instant now, bool crossesRegion);

/** The request as it is sent to a backend server, with its trace and the tokens that the caller already has. */
RequestMessage makeBackendRequest(const RequestContext&, const TraceContext&, std::uint32_t resumeOffset);

} // namespace yuccashift
