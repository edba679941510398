#include "benchmarks/capacity/fit.hpp"

#include <boost/json.hpp>
#include <cmath>
#include <sstream>
#include <stdexcept>

namespace yuccashift::capacity {

namespace {

    namespace json = boost::json;

    // Rounds to four significant digits, since further digits are measurement noise.
    double rounded(double value)
    {
        constexpr double zeroThreshold = 1e-9;
        if (std::abs(value) < zeroThreshold)
            return 0;
        constexpr int digits = 4;
        const double scale = std::pow(10.0, digits - 1 - std::floor(std::log10(std::abs(value))));
        return std::round(value * scale) / scale;
    }

    double weightOf(const Point& point)
    {
        return 1 / (point.size * point.size);
    }

    double residueOf(const Slope& slope)
    {
        double squares = 0;
        double sum = 0;
        for (const auto& point : slope.points) {
            const double error = point.cost - slope.base - slope.perUnit * point.size;
            squares += error * error;
            sum += point.cost;
        }
        const auto n = static_cast<double>(slope.points.size());
        return sum == 0 ? 0 : 100 * std::sqrt(squares / n) / (sum / n);
    }

    std::string numberText(double value)
    {
        std::ostringstream out;
        out.precision(6);
        out << value;
        return out.str();
    }

    void writeSlope(std::ostream& out, const Slope& slope)
    {
        out << "  {\"name\": \"" << slope.name << "\", \"unit\": \"" << slope.unit << "\", \"against\": \"" << slope.against << "\",\n   \"points\": [";
        const char* separator = "";
        for (const auto& point : slope.points) {
            out << separator << "[" << numberText(point.size) << ", " << numberText(point.cost) << "]";
            separator = ", ";
        }
        out << "]}";
    }

    Slope readSlope(const json::object& object)
    {
        std::vector<Point> points;
        for (const auto& pair : object.at("points").as_array())
            points.push_back({ pair.at(0).to_number<double>(), pair.at(1).to_number<double>() });
        const auto text = [&](const char* key) { return json::value_to<std::string>(object.at(key)); };
        return fitLine(text("name"), text("unit"), text("against"), std::move(points));
    }

} // namespace

Slope fitLine(std::string name, std::string unit, std::string against, std::vector<Point> points)
{
    constexpr std::size_t minPoints = 4;
    if (points.size() < minPoints)
        throw std::runtime_error(name + ": a slope needs at least four sizes");
    double weights = 0;
    double meanSize = 0;
    double meanCost = 0;
    for (const auto& point : points) {
        weights += weightOf(point);
        meanSize += weightOf(point) * point.size;
        meanCost += weightOf(point) * point.cost;
    }
    meanSize /= weights;
    meanCost /= weights;
    double covariance = 0;
    double variance = 0;
    for (const auto& point : points) {
        covariance += weightOf(point) * (point.size - meanSize) * (point.cost - meanCost);
        variance += weightOf(point) * (point.size - meanSize) * (point.size - meanSize);
    }
    Slope slope { std::move(name), std::move(unit), std::move(against), std::move(points) };
    slope.perUnit = rounded(covariance / variance);
    slope.base = rounded(meanCost - slope.perUnit * meanSize);
    slope.residuePercent = residueOf(slope);
    return slope;
}

std::string slopesToJson(const Slopes& slopes)
{
    std::ostringstream out;
    out << "[\n";
    const char* separator = "";
    for (const auto& [name, slope] : slopes) {
        out << separator;
        writeSlope(out, slope);
        separator = ",\n";
    }
    out << "\n]\n";
    return out.str();
}

Slopes slopesFromJson(const std::string& text)
{
    Slopes slopes;
    const auto parsed = json::parse(text);
    for (const auto& item : parsed.as_array()) {
        auto slope = readSlope(item.as_object());
        slopes.emplace(slope.name, std::move(slope));
    }
    return slopes;
}

} // namespace yuccashift::capacity
