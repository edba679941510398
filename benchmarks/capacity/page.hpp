#pragma once

#include "benchmarks/capacity/model.hpp"

#include <string>

namespace yuccashift::capacity {

/** Returns the full text of docs/CAPACITY-MODEL.md; the same input gives the same bytes. */
std::string renderPage(const Model&, const Slopes&);

} // namespace yuccashift::capacity
