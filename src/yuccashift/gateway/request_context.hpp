#pragma once

#include "yuccashift/answers/stream_software.hpp"
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

/** Where a request entered the fleet and how often it has been forwarded. */
struct RequestOrigin {
    InstanceId instance;
    RegionName region;
    /** Number of forwards between regions; at most 1. */
    std::int32_t regionHops = 0;
    /** Number of forwards within a region; at most 1. */
    std::int32_t localHops = 0;
};

/** A request with its route, organisation and traits as resolved on arrival. */
struct RequestContext {
    RequestMessage message;
    ResolvedRoute resolved;
    /** Points into resolved.document. */
    const OrganisationSpec* organisation = nullptr;
    RequestTraits traits;
    TraceContext trace;
    RequestOrigin origin;
    /** Identifies the request at backend servers; unique for each request of a caller. */
    std::string requestId;
    /** Idempotency key that its minter must check; empty if the request has none, or if the minter has forwarded it for execution. */
    std::string key;
    /** Idempotency key that is sent to the backend server; empty if there is none. */
    std::string backendKey;
    /** Hash of organisation, method, target and body. */
    std::uint64_t fingerprint = 0;
    /** Number of complete tokens that the caller already has. */
    std::uint32_t resumeOffset = 0;
    /** The software that wrote these tokens. */
    StreamSoftware streamSoftware;
    /** Whether the caller asked for server-sent events. */
    bool streaming = false;

    const Document& document() const { return *resolved.document; }
    const RouteSpec& route() const { return *resolved.route; }
};

using RequestContextPtr = std::shared_ptr<const RequestContext>;

/** Regions that may serve the organisation: those of its residency, or all regions of the service if it has none. */
const std::vector<RegionName>& allowedRegions(const Document&, const OrganisationSpec&);

/** Where and when a request arrived, and its identifiers. */
struct Arrival {
    InstanceId instance;
    RegionName region;
    Instant now;
    TraceContext trace;
    std::string requestId;
};

/**
 * Resolves and authenticates a caller's request. Headers that only instances
 * may set, such as those for priority, origin and organisation, are dropped.
 */
Result<RequestContext> admitRequest(const RouteTable&, RequestMessage, const Arrival&);

/**
 * Resolves a forwarded request against this instance's own documents. Fails
 * with Forbidden if they lack the organisation, with HopLimit if the request was
 * forwarded too often, and with ResidencyViolation if this region may not serve
 * the organisation.
 */
Result<RequestContext> admitForward(const RouteTable&, const wire::Forward&, const Arrival&);

/** The software that all servers of the document run; 0 if they run several versions. */
SoftwareId onlySoftware(const Document&);
/**
 * The software of a backend server in the document with which a request was resolved; 0 if the document in force names
 * another version, so that it is not known which of them the server runs.
 *
 * @param inForce null if the service has no document any more
 */
SoftwareId softwareOfBackend(const Document& ofRequest, const Document* inForce, const BackendName&);

/** What the receiving instance has to do with a forwarded request. */
enum class ForwardPurpose {
    /** Execute it on one of the backend servers of its region. */
    Execute,
    /** Check its idempotency key, which the receiving instance has minted. */
    CheckKey,
};

/** Builds the message that forwards the request to another instance. */
wire::Forward makeForward(const RequestContext&, ForwardPurpose, Instant now, bool crossesRegion);

/**
 * Builds the request for a backend server.
 *
 * @param resumeOffset number of complete tokens that the caller already has
 */
RequestMessage makeBackendRequest(const RequestContext&, const TraceContext&, std::uint32_t resumeOffset);

} // namespace yuccashift
