#pragma once

#include "yuccashift/routing/types.hpp"

#include <string>
#include <vector>

namespace yuccashift {

/** One line for each candidate: its name, expected time where computed, and reason. */
std::vector<std::string> explain(const Decision&);

} // namespace yuccashift
