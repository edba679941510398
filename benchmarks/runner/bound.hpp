#pragma once

#include "benchmarks/runner/result.hpp"
#include "benchmarks/runner/scenario.hpp"

namespace yuccashift::runner {

/**
 * Computes the best result that a policy could reach with exact knowledge, no lag
 * and relaxed rules: the servers of all allowed regions form one pool with one
 * earliest-deadline-first queue, caches are unlimited and shared, the network adds
 * no delay, Slow faults have no effect, and a request is never delayed by one of
 * lower priority. The share sent to other regions comes from a second run in which
 * a request leaves its region only if it would otherwise miss its deadline.
 */
RunResult runBound(const Scenario&, std::uint64_t seed);

} // namespace yuccashift::runner
