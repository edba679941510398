#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace yuccashift::speed {

/** Closed-loop load: a fixed number of connections, each with one request at a time. */
struct LoadSpec {
    Endpoint target;
    std::string method = "GET";
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /** Text that occurs exactly once in each event of a stream. */
    std::string eventMark = "data: {";
    std::size_t connections = 1;
    std::chrono::milliseconds duration { 3000 };
};

/** Results of a load run. Latencies are in microseconds. */
struct LoadResult {
    std::size_t requests = 0;
    std::size_t failures = 0;
    /** Number of stream events received. */
    std::size_t tokens = 0;
    double seconds = 0;
    /** Body of the last answer with a status other than 200, or the error that ended a connection. */
    std::string lastFailure;
    std::vector<double> latencies;
    std::vector<double> firstTokens;

    double requestsPerSecond() const { return static_cast<double>(requests) / seconds; }
    double tokensPerSecond() const { return static_cast<double>(tokens) / seconds; }
};

/** Runs the load on the calling thread until its duration has passed and every request has ended. */
LoadResult runLoad(const LoadSpec&);

/** Returns the value at the given quantile, with `share` from 0 to 1; 0 if there are no values. */
double quantile(std::vector<double> values, double share);

} // namespace yuccashift::speed
