#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

namespace yuccashift::capacity {

/** One measurement: the cost at a size. */
struct Point {
    double size = 0;
    double cost = 0;
};

/** A straight line fitted to measured points. */
struct Slope {
    std::string name;
    /** Unit of the cost, such as `bytes` or `us`. */
    std::string unit;
    /** Unit of the size, such as `member`. */
    std::string against;
    std::vector<Point> points;
    /** Cost at size 0. */
    double base = 0;
    /** Cost of one more unit of size. */
    double perUnit = 0;
    /** Root mean square error of the line, in percent of the mean cost. */
    double residuePercent = 0;
};

using Slopes = std::map<std::string, Slope>;

/**
 * Fits a line by least squares with each point weighted by 1/size^2, so that
 * large sizes do not dominate small ones. Throws std::runtime_error for fewer
 * than four points.
 */
Slope fitLine(std::string name, std::string unit, std::string against, std::vector<Point>);

std::string slopesToJson(const Slopes&);
/** Parses the output of slopesToJson(). Throws std::runtime_error if the text is not a table of slopes. */
Slopes slopesFromJson(const std::string& text);

} // namespace yuccashift::capacity
