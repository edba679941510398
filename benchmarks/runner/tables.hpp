#pragma once

#include "benchmarks/runner/result.hpp"

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace yuccashift::runner {

/** Results of one scenario: a row for each contender, the bound last. */
struct ScenarioResult {
    std::string name;
    std::string description;
    std::vector<std::pair<std::string, RunResult>> rows;
};

/** Name of the row with the bound. */
inline constexpr const char* boundName = "bound";
/** Name of the row with the shipped policies. */
inline constexpr const char* shippedName = "yuccashift";

/** A Markdown table for a scenario. */
void writeTable(std::ostream&, const ScenarioResult&);

} // namespace yuccashift::runner
