#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace yuccashift::speed {

/** Load of a fixed number of connections, each with one request at a time. */
struct LoadSpec {
    Endpoint target;
    std::string method = "GET";
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /** What each event of a stream holds once. */
    std::string eventMark = "data: {";
    std::size_t connections = 1;
    std::chrono::milliseconds duration { 3000 };
};

/** What the load saw. Times in microseconds. */
struct LoadResult {
    std::size_t requests = 0;
    std::size_t failures = 0;
    /** Events of streams. */
    std::size_t tokens = 0;
    double seconds = 0;
    /** Body of the last answer that was not 200, or why a connection ended. */
    std::string lastFailure;
    std::vector<double> latencies;
    std::vector<double> firstTokens;

    double requestsPerSecond() const { return static_cast<double>(requests) / seconds; }
    double tokensPerSecond() const { return static_cast<double>(tokens) / seconds; }
};

/** Runs the load on one thread until its time has passed and every request has ended. */
LoadResult runLoad(const LoadSpec&);

/** The value below which this share of the values lies; 0 of none. */
double quantile(std::vector<double> values, double share);

} // namespace yuccashift::speed
