#pragma once

#include "yuccashift/routing/types.hpp"

#include <array>
#include <functional>
#include <vector>

namespace yuccashift::runner {

/** Request classes; the first two go to the plain service, the others to the model service. */
enum class RequestClass : std::uint8_t {
    Validation,
    Redemption,
    Schedule,
    Question,
    Itinerary,
};

inline constexpr std::size_t classCount = 5;
inline constexpr const char* plainService = "pass-ledger";
inline constexpr const char* modelService = "pass-assistant";

/** Properties shared by all requests of a class. */
struct ClassSpec {
    const char* name;
    bool plain;
    Priority priority;
    Duration deadline;
    bool idempotent;
    std::uint32_t tailTokens;
    std::uint32_t outputTokens;
    /** Fraction of the requests of its service. */
    double share;
};

const std::array<ClassSpec, classCount>& classSpecs();

/** One request as generated; the caller may send it several times. */
struct Arrival {
    Instant at;
    RequestClass kind = RequestClass::Validation;
    std::size_t region = 0;
    std::size_t caller = 0;
    RequestTraits traits;
    /** Service time of a plain request. */
    Duration service {};
    /** Actual number of tokens in the answer. */
    std::uint32_t tokens = 0;
    /** Crashes every server that runs it. */
    bool poison = false;
};

/** Rates and distribution of the generated load. */
struct WorkloadSpec {
    Duration length = seconds(90);
    std::vector<RegionName> regions;
    /** Requests per second over all regions. */
    double plainRate = 40;
    double modelRate = 8;
    /** Fraction of the load in each region. */
    std::vector<double> regionShares;
    /** Multiplier of the rate in a region at a time since the start; a constant 1 if empty. */
    std::function<double(double seconds, std::size_t region)> shape;
    /** Fraction of requests that may run only in the region of their caller. */
    double homeRegionOnlyShare = 0.23;
    /** Multiplier of the rate for the extra load of the organisation "noisy" at a time since the start; no extra load if empty. */
    std::function<double(double seconds)> noisy;
    /** Times of poison requests, in seconds since the start. */
    std::vector<double> poisonAt;
};

/** Returns the arrivals ordered by time. The same seed gives the same arrivals. */
std::vector<Arrival> makeArrivals(const WorkloadSpec&, Instant start, std::uint64_t seed);

} // namespace yuccashift::runner
