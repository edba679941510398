#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccashift {

/** Type of the backend servers of a service. */
enum class ServiceKind {
    /** Inference with one or more models. */
    Model,
    /** HTTP service without models, matched by its path prefix. */
    Plain,
};

/** Scheduling priority of queued requests; Urgent is served first. */
enum class Priority : std::uint8_t {
    Urgent,
    Normal,
    Batch,
};

/** Whether an engine checks the fencing token of an order and rejects an outdated one. */
enum class FenceMode {
    Checked,
    Ignored,
};

/** Which phases of inference a backend server runs. */
enum class BackendRole {
    Both,
    Prefill,
    Decode,
};

/** Whether a request may be forwarded out of the region in which it arrived. */
enum class SpillMode {
    Never,
    WhenLoaded,
};

struct ModelSpec {
    std::string name;
    std::string version;
    std::vector<std::string> adapters;

    bool operator==(const ModelSpec&) const = default;
};

struct BackendSpec {
    BackendName name;
    RegionName region;
    DatacentreName datacentre;
    Endpoint address;
    FenceMode fence = FenceMode::Checked;
    BackendRole role = BackendRole::Both;
    /** Maximum number of concurrent requests. */
    std::uint32_t slots = 8;
    /** Names of the models that it should load (`name` of ModelSpec); empty means all. */
    std::vector<std::string> models;
    /** Version of its software. A stream is continued only by servers of the version that began it; versions have no order. */
    std::string softwareVersion {};

    bool operator==(const BackendSpec&) const = default;
};

struct RouteSpec {
    std::string name;
    /** HTTP method, or `*`. */
    std::string method = "POST";
    /** Exact path, or a prefix if it ends in `*`. */
    std::string path;
    bool idempotent = true;
    Priority priority = Priority::Normal;
    milliseconds deadline { 30000 };

    bool operator==(const RouteSpec&) const = default;
};

struct LimitSpec {
    /** Maximum requests per second, summed over all regions; 0 is unlimited. */
    double requestsPerSecond = 0;
    /** Maximum generated tokens per second, summed over all regions; 0 is unlimited. */
    double tokensPerSecond = 0;
    /** Maximum concurrent requests per instance; 0 is unlimited. */
    std::uint32_t concurrency = 0;

    bool operator==(const LimitSpec&) const = default;
};

/** Limit on an organisation's use, summed over all instances of the fleet. */
struct FleetLimitSpec {
    /** Whether the limit counts tokens; otherwise it counts requests. */
    bool countsTokens = false;
    /** Requests or tokens per second; 0 is unlimited. */
    double perSecond = 0;
    /** Requests or tokens that may be used at once beyond the rate. */
    double burst = 0;
    /** Cost in tokens of a request that does not state its tokens. */
    std::uint32_t plainTokens = 0;

    bool unlimited() const { return perSecond == 0; }

    bool operator==(const FleetLimitSpec&) const = default;
};

/** What a request counts against the limit. @param tokens prompt and maximum output tokens that the request states */
double costOf(const FleetLimitSpec&, std::optional<std::uint64_t> tokens);

struct OrganisationSpec {
    OrganisationName name;
    /** SHA-256 of each accepted bearer credential, as lower-case hex. */
    std::vector<std::string> credentialHashes;
    /** Regions that may serve the organisation; empty means all regions of the service. */
    std::vector<RegionName> residency;
    /** Weight of the organisation when organisations compete for capacity, relative to the weights of the others. */
    double weight = 1;
    LimitSpec limits;
    /** Priority level, 0 is the highest; it replaces that of the route. std::nullopt if the route's holds. */
    std::optional<std::uint32_t> priority {};
    FleetLimitSpec fleetLimit {};

    bool operator==(const OrganisationSpec&) const = default;
};

struct RetrySpec {
    /** Maximum attempts per request, including the first. */
    std::uint32_t attempts = 2;
    /** Maximum retries as a percentage of requests. */
    double budgetPercent = 10;

    bool operator==(const RetrySpec&) const = default;
};

struct HedgeSpec {
    /** Delay before an idempotent request is hedged with a second attempt; 0 disables hedging. */
    milliseconds after { 0 };
    /** Maximum hedged requests as a percentage of requests. */
    double budgetPercent = 2;

    bool operator==(const HedgeSpec&) const = default;
};

struct SpillSpec {
    SpillMode mode = SpillMode::WhenLoaded;
    /** Penalty added to the expected latency of every other region when regions are compared. */
    milliseconds cost { 150 };
    /** By how much another region must be better than the local one, in percent. */
    double hysteresisPercent = 20;

    bool operator==(const SpillSpec&) const = default;
};

struct PrefixCacheSpec {
    /** Tokens per cached block; 0 disables prefix-aware routing. */
    std::uint32_t blockTokens = 16;
    /** Percentage of the estimated prefix match that counts while no cache event is missing. */
    double trustPercent = 90;

    bool operator==(const PrefixCacheSpec&) const = default;
};

/** Configuration of one service as written by its operators. Parsing the same text always gives the same values. */
struct Document {
    ServiceName service;
    std::string owner;
    Revision revision = 0;
    /** Tombstone: the service is no longer served. A deletion is published as a new revision. */
    bool deleted = false;
    ServiceKind kind = ServiceKind::Plain;
    /** Path prefix of a plain service, such as `/pass-ledger`. */
    std::string pathPrefix;
    std::vector<RegionName> regions;
    std::vector<ModelSpec> models;
    std::vector<BackendSpec> backends;
    std::vector<RouteSpec> routes;
    std::vector<OrganisationSpec> organisations;
    RetrySpec retry;
    HedgeSpec hedge;
    SpillSpec spill;
    PrefixCacheSpec prefixCache;
    /** Maximum number of requests queued per instance. */
    std::uint32_t queueLimit = 256;

    bool operator==(const Document&) const = default;
};

using DocumentPtr = std::shared_ptr<const Document>;

std::string_view toString(ServiceKind);
std::string_view toString(Priority);
std::string_view toString(FenceMode);
std::string_view toString(BackendRole);
std::string_view toString(SpillMode);

/** Returns the model with this name, or nullptr if there is none. */
const ModelSpec* findModel(const Document&, std::string_view name);
/** Returns the organisation with this name, or nullptr if there is none. */
const OrganisationSpec* findOrganisation(const Document&, std::string_view name);
/** Whether the document assigns the model to the backend server. */
bool holdsModel(const BackendSpec&, std::string_view model);

} // namespace yuccashift
