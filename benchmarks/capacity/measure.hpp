#pragma once

#include "benchmarks/capacity/fit.hpp"

#include <cstdint>
#include <functional>
#include <initializer_list>

namespace yuccashift::capacity {

/** Returns the processor time of one call in microseconds: the median of several rounds on this thread. */
double microsecondsOf(const std::function<void()>& call);

/** Returns the processor time that this thread has used, in microseconds. */
double threadMicroseconds();

/** Returns the bytes of heap in use, including the allocator's block headers. */
std::int64_t heapBytes();

/** Returns the bytes of heap allocated by the function that are still in use after it returns. */
double heapBytesKeptBy(const std::function<void()>& make);

/** Calls the function with each size and fits a line to the returned costs. */
Slope measureSlope(std::string name, std::string unit, std::string against, std::initializer_list<double> sizes,
    const std::function<double(std::size_t size)>& cost);

/** Adds a slope under its name. */
void addSlope(Slopes&, Slope);

/** Each function measures the slopes of one area and adds them. */
void addWireSlopes(Slopes&);
void addDocumentSlopes(Slopes&);
void addStateSlopes(Slopes&);
void addDecisionSlopes(Slopes&);
void addObserveSlopes(Slopes&);
void addPlatformSlopes(Slopes&);

} // namespace yuccashift::capacity
