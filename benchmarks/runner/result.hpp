#pragma once

#include "benchmarks/runner/workload.hpp"

#include <array>
#include <string>
#include <vector>

namespace yuccashift::runner {

/** How a request ended for its caller. */
enum class Ending {
    Answered,
    Refused,
    Failed,
    Late,
};

/** What was counted for one class. */
struct ClassResult {
    std::uint64_t offered = 0;
    std::array<std::uint64_t, 4> endings {};
    /** Seconds; a request without an answer counts with its whole deadline. */
    std::vector<double> latencies;

    std::uint64_t count(Ending ending) const { return endings[static_cast<std::size_t>(ending)]; }
    /** Requests without an answer in time. */
    std::uint64_t missed() const { return offered - count(Ending::Answered); }
    double percentile(double percent) const;
};

/** What was counted in one run, or in several added up. */
struct RunResult {
    std::array<ClassResult, classCount> classes;
    /** Latency of urgent requests of organisations other than the noisy one. */
    ClassResult quietUrgent;
    std::uint64_t sentAway = 0;
    std::uint64_t attempts = 0;
    /** Times that callers sent their requests. */
    std::uint64_t sends = 0;
    double acceleratorSeconds = 0;
    double answeredTokens = 0;
    double cachedTokens = 0;
    double promptTokens = 0;
    std::uint64_t crashes = 0;
    /** Seconds from the end of the fault to 95% of goodput; the worst of the runs. */
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
