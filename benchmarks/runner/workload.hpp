#pragma once

#include "yuccashift/routing/types.hpp"

#include <array>
#include <functional>
#include <vector>

namespace yuccashift::runner {

/** Kinds of requests; the first two go to the plain service, the rest to the model. */
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

/** What all requests of a class have in common. */
struct ClassSpec {
    const char* name;
    bool plain;
    Priority priority;
    Duration deadline;
    bool idempotent;
    std::uint32_t tailTokens;
    std::uint32_t outputTokens;
    /** Share among the requests of its service. */
    double share;
};

const std::array<ClassSpec, classCount>& classSpecs();

/** One request as the caller means it; it may be sent several times. */
struct Arrival {
    Instant at;
    RequestClass kind = RequestClass::Validation;
    std::size_t region = 0;
    std::size_t caller = 0;
    RequestTraits traits;
    /** Work of a plain request. */
    Duration service {};
    /** Tokens that the answer really has. */
    std::uint32_t tokens = 0;
    /** Crashes every server that runs it. */
    bool poison = false;
};

/** Shape of the load. */
struct WorkloadSpec {
    Duration length = seconds(90);
    std::vector<RegionName> regions;
    /** Requests per second over all regions. */
    double plainRate = 40;
    double modelRate = 8;
    /** Share of each region. */
    std::vector<double> regionShares;
    /** Factor of the rate at a time since the start, for a region. */
    std::function<double(double seconds, std::size_t region)> shape;
    /** Share of requests bound to the region of their caller. */
    double homeBound = 0.23;
    /** Factor of one organisation's rate at a time since the start. */
    std::function<double(double seconds)> noisy;
    /** Times of poison requests since the start. */
    std::vector<double> poisonAt;
};

/** Arrivals in order of time. The same seed gives the same arrivals. */
std::vector<Arrival> makeArrivals(const WorkloadSpec&, Instant start, std::uint64_t seed);

} // namespace yuccashift::runner
