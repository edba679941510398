#pragma once

#include "benchmarks/runner/result.hpp"

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace yuccashift::runner {

/** Results of one scenario: one row per contender, followed by the bound. */
struct ScenarioResult {
    std::string name;
    std::string description;
    std::vector<std::pair<std::string, RunResult>> rows;
};

/** Name of the row with the bound. */
inline constexpr const char* boundName = "bound";
/** Name of the row with the shipped policies. */
inline constexpr const char* shippedName = "yuccashift";

/** Writes the results of a scenario as a Markdown table. */
void writeTable(std::ostream&, const ScenarioResult&);

} // namespace yuccashift::runner
