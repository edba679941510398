#pragma once

#include "yuccashift/document/organisation_index.hpp"
#include "yuccashift/http/inbound.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace yuccashift {

/** Whether a request may be retried, and how it is answered. */
enum class RouteKind {
    Idempotent,
    NonIdempotent,
    Streaming,
};

/** A service that receives a share of a route's requests in proportion to its weight. */
struct WeightedService {
    ServiceName service;
    std::uint32_t weight = 1;
};

/** Selects requests by host and path, and states which services receive them and under which limits. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /** Maximum time from the request's arrival to the end of its answer. */
    milliseconds timeLimit { 10000 };
    /** Target for the time to the answer or, for a stream, to the first event. */
    milliseconds latencyObjective { 1000 };
    /** Priority level; 0 is the highest. */
    std::uint32_t priority = 0;
    /** Maximum number of backend servers to which one request may be sent. */
    std::uint32_t maxAttempts = 1;
    /** Whether another server may resume an interrupted stream. */
    bool resumable = false;
    /** Whether a caller must present an organisation's credential; false if the configuration does not identify callers. */
    bool requiresCredential = false;
    /** Regions in which the request may be served; if empty, any region. */
    std::vector<RegionName> homeRegions;
    std::vector<WeightedService> services;

    /** Whether a request may run more than once. */
    bool retryable() const { return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && resumable); }
    bool usesService(const ServiceName&) const;
    /** Picks a service by weight; the same draw always gives the same service. */
    const ServiceName& pickService(std::uint64_t draw) const;
};

/**
 * The regions in which a request may run: those that its route and its organisation both allow. Refers to the regions
 * of the two, which must outlive it.
 */
class AllowedRegions {
public:
    /** @param organisation nullptr if the request has none */
    AllowedRegions(const Route&, const OrganisationSpec* organisation);

    bool allows(const RegionName&) const;
    /** Whether some regions are not allowed. */
    bool bound() const { return !m_ofRoute.empty() || !m_ofOrganisation.empty(); }
    /** The allowed regions; empty if none is, or if all are. */
    std::vector<RegionName> names() const;

private:
    std::span<const RegionName> m_ofRoute;
    std::span<const RegionName> m_ofOrganisation;
};

/** What the configuration states about a service. */
struct ServiceConfig {
    std::string healthPath = "/health";
    /** Maximum number of connections that one server accepts from all instances together; 0 if not configured. */
    std::uint32_t connectionLimit = 0;
    /** How long a new server stays cold. */
    Duration coldTime {};
    /** Requests per second that a cold server accepts. */
    double coldRate = 0;
    /** Whether the service's servers run models and batch requests. */
    bool engine = false;
    /** Tokens that fit into an engine's memory; 0 if not configured. */
    std::uint64_t memoryTokens = 0;
};

/** One version of the complete configuration. */
struct RouteConfig {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceName, ServiceConfig> services;
    /** Whether callers are identified by credentials, which are then not sent on. */
    bool identifiesCallers = false;
    std::vector<OrganisationSpec> organisations;
    InboundLimits limits;

    /** Whether the service has an entry or a route sends requests to it. */
    bool names(const ServiceName&) const;
    /** The entry of a service, or the default values if it has none. */
    const ServiceConfig& serviceConfig(const ServiceName&) const;
};

/** Finds the route for a host and path, of which the one with the longest matching prefix wins, and the organisation of a caller. */
class RouteIndex {
public:
    explicit RouteIndex(RouteConfig);
    RouteIndex(const RouteIndex&) = delete;
    RouteIndex& operator=(const RouteIndex&) = delete;

    const RouteConfig& config() const { return m_config; }
    /** Returns null if no route matches. Ignores case and port of the host, and the query and fragment of the target. */
    const Route* find(std::string_view host, std::string_view target) const;
    const OrganisationIndex& organisations() const { return m_organisations; }

private:
    RouteConfig m_config;
    /** Routes by host in lower case, longest prefix first. */
    std::map<std::string, std::vector<const Route*>, std::less<>> m_byHost;
    OrganisationIndex m_organisations;
};

} // namespace yuccashift
