#pragma once

#include "benchmarks/runner/tables.hpp"

namespace yuccashift::runner {

/** Writes an SVG bar chart of the 99th percentile latency of validation requests in milliseconds, one bar per policy. */
void writePlot(std::ostream&, const ScenarioResult&);

} // namespace yuccashift::runner
