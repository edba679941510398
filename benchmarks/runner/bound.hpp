#pragma once

#include "benchmarks/runner/result.hpp"
#include "benchmarks/runner/scenario.hpp"

namespace yuccashift::runner {

/**
 * What an all-knowing policy without any lag reaches under kinder rules: servers
 * of all allowed regions are one pool with one queue by earliest deadline, caches
 * are unlimited and shared, networks cost nothing, slow servers are not slow, and a priority is never delayed
 * by a lower one. The share sent away comes from a second run in which a request
 * leaves its region only if it would otherwise miss its deadline.
 */
RunResult runBound(const Scenario&, std::uint64_t seed);

} // namespace yuccashift::runner
