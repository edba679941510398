#pragma once

#include "benchmarks/runner/tables.hpp"

#include <span>

namespace yuccashift::runner {

/** Writes a Markdown table with one row per scenario: the figures with targets and the names of the missed targets. */
void writeTargets(std::ostream&, std::span<const ScenarioResult>);

} // namespace yuccashift::runner
