#pragma once

#include "yuccashift/routing/types.hpp"

#include <string>
#include <vector>

namespace yuccashift {

/** Describes a decision in one line per candidate: name, reason, and expected time if it was computed. */
std::vector<std::string> explain(const Decision&);

} // namespace yuccashift
