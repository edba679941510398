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

/** What stands behind a service. */
enum class ServiceKind {
    Model,
    Plain,
};

/** Order in which waiting requests are taken; Urgent first. */
enum class Priority : std::uint8_t {
    Urgent,
    Normal,
    Batch,
};

/** What an engine does with an order that carries an old fencing number. */
enum class FenceMode {
    Checked,
    Ignored,
};

/** Which half of inference a backend server serves. */
enum class BackendRole {
    Both,
    Prefill,
    Decode,
};

/** Whether a request may leave the region where it arrived. */
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
    /** Requests it runs at once. */
    std::uint32_t slots = 8;
    /** Models and versions it should hold, `name` of ModelSpec; empty means all. */
    std::vector<std::string> models;

    bool operator==(const BackendSpec&) const = default;
};

struct RouteSpec {
    std::string name;
    /** HTTP method, or `*`. */
    std::string method = "POST";
    /** Exact path, or a prefix where it ends in `*`. */
    std::string path;
    bool idempotent = true;
    Priority priority = Priority::Normal;
    milliseconds deadline { 30000 };

    bool operator==(const RouteSpec&) const = default;
};

struct LimitSpec {
    /** Requests per second over all regions; 0 is unlimited. */
    double requestsPerSecond = 0;
    /** Generated tokens per second over all regions; 0 is unlimited. */
    double tokensPerSecond = 0;
    /** Requests in progress at once in one instance; 0 is unlimited. */
    std::uint32_t concurrency = 0;

    bool operator==(const LimitSpec&) const = default;
};

struct OrganisationSpec {
    OrganisationName name;
    /** SHA-256 of each accepted bearer credential, in hex. */
    std::vector<std::string> credentialHashes;
    /** Regions that may serve it; empty means those of the service. */
    std::vector<RegionName> residency;
    /** Share of contended capacity, against the other organisations' weights. */
    double weight = 1;
    LimitSpec limits;

    bool operator==(const OrganisationSpec&) const = default;
};

struct RetrySpec {
    /** Attempts per request, the first included. */
    std::uint32_t attempts = 2;
    /** Retries allowed per hundred requests. */
    double budgetPercent = 10;

    bool operator==(const RetrySpec&) const = default;
};

struct HedgeSpec {
    /** Wait before a second attempt of idempotent work; 0 disables hedges. */
    milliseconds after { 0 };
    /** Hedges allowed per hundred requests. */
    double budgetPercent = 2;

    bool operator==(const HedgeSpec&) const = default;
};

struct SpillSpec {
    SpillMode mode = SpillMode::WhenLoaded;
    /** Charged to every other region in comparisons of expected latency. */
    milliseconds cost { 150 };
    /** How much better than the local region another must be, in percent. */
    double hysteresisPercent = 20;

    bool operator==(const SpillSpec&) const = default;
};

struct PrefixCacheSpec {
    /** Tokens per cached block; 0 disables prefix routing. */
    std::uint32_t blockTokens = 16;
    /** Share of the believed match that counts, in percent, while events have no gap. */
    double trustPercent = 90;

    bool operator==(const PrefixCacheSpec&) const = default;
};

/** Everything that operators say about one service. Equal text gives equal values. */
struct Document {
    ServiceName service;
    std::string owner;
    Revision revision = 0;
    /** A deletion is a revision: the service is no longer served. */
    bool deleted = false;
    ServiceKind kind = ServiceKind::Plain;
    /** Prefix of the paths of a plain service, such as `/pass-ledger`. */
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
    /** Requests that may wait in one instance. */
    std::uint32_t queueLimit = 256;

    bool operator==(const Document&) const = default;
};

using DocumentPtr = std::shared_ptr<const Document>;

std::string_view toString(ServiceKind);
std::string_view toString(Priority);
std::string_view toString(FenceMode);
std::string_view toString(BackendRole);
std::string_view toString(SpillMode);

/** The model with this name, or null. */
const ModelSpec* findModel(const Document&, std::string_view name);
/** The organisation with this name, or null. */
const OrganisationSpec* findOrganisation(const Document&, std::string_view name);
/** Whether the backend server is meant to hold the model. */
bool holdsModel(const BackendSpec&, std::string_view model);

} // namespace yuccashift
