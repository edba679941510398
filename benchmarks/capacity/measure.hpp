#pragma once

#include "benchmarks/capacity/fit.hpp"

#include <cstdint>
#include <functional>
#include <initializer_list>

namespace yuccashift::capacity {

/** Processor time of one call in microseconds: the median of several rounds on this thread. */
double microsecondsOf(const std::function<void()>& call);

/** Processor time of this thread so far, in microseconds. */
double threadMicroseconds();

/** Bytes of heap that are in use, the allocator's own included. */
std::int64_t heapBytes();

/** Bytes of heap that what the function makes still holds after it returned. */
double heapBytesKeptBy(const std::function<void()>& make);

/** Runs the function at each size and fits a line through what it returns. */
Slope measureSlope(std::string name, std::string unit, std::string against, std::initializer_list<double> sizes,
    const std::function<double(std::size_t size)>& cost);

/** Adds a slope under its name. */
void addSlope(Slopes&, Slope);

/** Measurements of one area each. */
void addWireSlopes(Slopes&);
void addDocumentSlopes(Slopes&);
void addStateSlopes(Slopes&);
void addDecisionSlopes(Slopes&);
void addObserveSlopes(Slopes&);
void addPlatformSlopes(Slopes&);

} // namespace yuccashift::capacity
