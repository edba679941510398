#pragma once

#include "benchmarks/runner/workload.hpp"

#include <array>
#include <string>
#include <vector>

namespace yuccashift::runner {

/** Outcome of a request as its caller sees it. */
enum class Ending {
    Answered,
    Refused,
    Failed,
    Late,
};

/** Counts and latencies of one request class. */
struct ClassResult {
    std::uint64_t offered = 0;
    std::array<std::uint64_t, 4> endings {};
    /** In seconds; a request that is not answered in time counts with its full deadline. */
    std::vector<double> latencies;

    std::uint64_t count(Ending ending) const { return endings[static_cast<std::size_t>(ending)]; }
    /** Number of requests that were not answered in time. */
    std::uint64_t missed() const { return offered - count(Ending::Answered); }
    double percentile(double percent) const;
};

/** Results of one run, or the sum of several. */
struct RunResult {
    std::array<ClassResult, classCount> classes;
    /** Latency of urgent requests of organisations other than the noisy one. */
    ClassResult quietUrgent;
    std::uint64_t sentAway = 0;
    std::uint64_t attempts = 0;
    /** Number of sends by callers, retries included. */
    std::uint64_t sends = 0;
    double acceleratorSeconds = 0;
    double answeredTokens = 0;
    double cachedTokens = 0;
    double promptTokens = 0;
    std::uint64_t crashes = 0;
    /** Seconds from the end of the fault until 95% of the offered requests are answered; the maximum over the runs. */
    double recoverySeconds = 0;
    double length = 0;

    void count(const Arrival&, Ending, double latency);
    void add(const RunResult&);
    std::uint64_t offered() const;
    std::uint64_t answered() const;
    std::uint64_t refused() const;
    std::uint64_t urgentMissed() const;
    double goodput() const;
    double awayShare() const;
    double cacheHitRate() const;
    double costPerThousandTokens() const;
    double attemptsPerSend() const;
};

} // namespace yuccashift::runner
