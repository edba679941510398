#pragma once

#include "benchmarks/runner/tables.hpp"

#include <span>

namespace yuccashift::runner {

/** A Markdown table of the targets, met or missed, with a row for each scenario. */
void writeTargets(std::ostream&, std::span<const ScenarioResult>);

} // namespace yuccashift::runner
