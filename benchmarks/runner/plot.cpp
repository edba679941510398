#include "benchmarks/runner/plot.hpp"

#include <algorithm>
#include <iomanip>

namespace yuccashift::runner {
namespace {

    constexpr int width = 640;
    constexpr int labelWidth = 140;
    constexpr int barWidth = 420;
    constexpr int rowHeight = 26;
    constexpr int top = 40;
    constexpr double thousand = 1000;
    constexpr double point = 99;

    double valueOf(const RunResult& result)
    {
        return result.classes[static_cast<std::size_t>(RequestClass::Validation)].percentile(point) * thousand;
    }

    const char* colourOf(const std::string& name)
    {
        if (name == shippedName)
            return "#2f6f4f";
        return name == boundName ? "#999999" : "#b08a3c";
    }

} // namespace

void writePlot(std::ostream& out, const ScenarioResult& scenario)
{
    double maxValue = 1;
    for (const auto& row : scenario.rows)
        maxValue = std::max(maxValue, valueOf(row.second));
    const int height = top + rowHeight * static_cast<int>(scenario.rows.size()) + rowHeight / 2;
    out << std::fixed << std::setprecision(0);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height << "\" font-family=\"sans-serif\" font-size=\"13\">\n";
    out << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    out << "<text x=\"10\" y=\"24\">" << scenario.name << ": validation p99, ms</text>\n";
    int y = top;
    for (const auto& [name, result] : scenario.rows) {
        const double value = valueOf(result);
        const double length = std::max(1.0, value / maxValue * barWidth);
        out << "<text x=\"10\" y=\"" << y + rowHeight / 2 + 2 << "\">" << name << "</text>\n";
        out << "<rect x=\"" << labelWidth << "\" y=\"" << y << "\" width=\"" << length << "\" height=\"" << rowHeight - 8 << "\" fill=\"" << colourOf(name) << "\"/>\n";
        out << "<text x=\"" << labelWidth + length + 6 << "\" y=\"" << y + rowHeight / 2 + 2 << "\">" << value << "</text>\n";
        y += rowHeight;
    }
    out << "</svg>\n";
}

} // namespace yuccashift::runner
