#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

namespace yuccashift::capacity {

/** One measured point: the size varied and the cost seen. */
struct Point {
    double size = 0;
    double cost = 0;
};

/** A straight line through measured points. */
struct Slope {
    std::string name;
    /** Unit of the cost, such as `bytes` or `us`. */
    std::string unit;
    /** What one unit of size is, such as `member`. */
    std::string against;
    std::vector<Point> points;
    /** Cost at size 0. */
    double base = 0;
    /** Cost of one more unit of size. */
    double perUnit = 0;
    /** Root mean square of what the line misses, in percent of the mean cost. */
    double residuePercent = 0;
};

using Slopes = std::map<std::string, Slope>;

/**
 * Fits the line by least squares with each point weighted by 1/size^2, so that
 * small sizes are not drowned out by large ones.
 */
Slope fitLine(std::string name, std::string unit, std::string against, std::vector<Point>);

std::string slopesToJson(const Slopes&);
/** Throws std::runtime_error where the text is not a table of slopes. */
Slopes slopesFromJson(const std::string& text);

} // namespace yuccashift::capacity
