#pragma once

#include "benchmarks/runner/tables.hpp"

namespace yuccashift::runner {

/** An SVG with a bar for each policy: 99th percentile of validation, in milliseconds. */
void writePlot(std::ostream&, const ScenarioResult&);

} // namespace yuccashift::runner
