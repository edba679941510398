#pragma once

#include "yuccashift/http/inbound.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccashift {

/** What may be repeated, and how the answer comes. */
enum class RouteKind {
    Idempotent,
    NonIdempotent,
    Streaming,
};

/** A service that takes a share of a route's requests. */
struct WeightedService {
    ServiceName service;
    std::uint32_t weight = 1;
};

/** Which requests go where, and under which limits. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /** Longest time from the request's arrival to the end of its answer. */
    milliseconds timeLimit { 10000 };
    /** Time to the answer, or to a stream's first event, within which a caller is well served. */
    milliseconds latencyObjective { 1000 };
    /** Rank among requests; 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** Backend servers that one request may be sent to. */
    std::uint32_t maxAttempts = 1;
    /** Whether another server may go on with a stream that broke off. */
    bool resumable = false;
    /** Regions in which the request may be served; any where empty. */
    std::vector<RegionName> homeRegions;
    std::vector<WeightedService> services;

    /** Whether a request may run more than once. */
    bool retryable() const { return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && resumable); }
    bool allowsRegion(const RegionName&) const;
    bool usesService(const ServiceName&) const;
    /** The service for a request; the same one for the same draw. */
    const ServiceName& pickService(std::uint64_t draw) const;
};

/** What is published about a service. */
struct ServiceConfig {
    std::string healthPath = "/health";
    /** Connections that one server takes from all instances together; 0 where not said. */
    std::uint32_t connectionLimit = 0;
    /** Time for which a new server stays cold. */
    Duration coldTime {};
    /** Requests a second that a cold server takes. */
    double coldRate = 0;
    bool engine = false;
    /** Tokens that fit into an engine's memory; 0 where not said. */
    std::uint64_t memoryTokens = 0;
};

/** One version of the whole configuration. */
struct RouteConfig {
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceName, ServiceConfig> services;
    InboundLimits limits;

    const ServiceConfig& serviceConfig(const ServiceName&) const;
};

/** Finds the route of a host and path: the longest prefix wins. */
class RouteIndex {
public:
    explicit RouteIndex(RouteConfig);

    const RouteConfig& config() const { return m_config; }
    /** Null where no route matches. The target's query takes no part. */
    const Route* find(std::string_view host, std::string_view target) const;

private:
    RouteConfig m_config;
    /** Routes of each host, longest prefix first. */
    std::map<std::string, std::vector<const Route*>, std::less<>> m_byHost;
};

} // namespace yuccashift
