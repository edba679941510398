#include "benchmarks/capacity/page.hpp"

#include <cmath>
#include <sstream>

namespace yuccashift::capacity {

namespace {

    constexpr auto introduction = R"(# Capacity model

What each role costs at the size of the next two years, and the mechanism that carries it.
This page is generated: `./tools/capacity` measures the slopes again and writes it anew,
`./tools/capacity page` only writes it from the committed slopes. A test holds it equal to the model.

- **Measured**: the slopes below, on one machine, each from at least four sizes, with the
  modules that the daemon runs.
- **Worked out**: every row of the role tables, as a sum of products of slopes, the sizes and
  the rates in `benchmarks/capacity/rows.yaml`. Nothing on this page was measured on a fleet of that size.
- Rows name `mean / largest`: an instance in the mean region, and one in the region with ten times the mean.
- **grows** gives the exponents with which a row's cost for one instance grows when the number of
  instances (n) or of workers (w) doubles and all else stays: 0 is constant, 1 is linear.
  The cost of the whole fleet has n+1.
)";

    std::string number(double value)
    {
        std::ostringstream out;
        out.precision(3);
        const double size = std::abs(value);
        constexpr double whole = 1000;
        if (size >= whole)
            out << static_cast<long long>(std::llround(value));
        else if (size < 5e-4)
            out << (size == 0 ? "0" : "<0.001");
        else
            out << value;
        return out.str();
    }

    std::string cell(const std::optional<double>& mean, const std::optional<double>& largest)
    {
        if (!mean || !largest)
            return "";
        const auto left = number(*mean);
        const auto right = number(*largest);
        return left == right ? left : left + " / " + right;
    }

    void add(std::optional<double>& sum, const std::optional<double>& value)
    {
        if (value)
            sum = sum.value_or(0) + *value;
    }

    void add(Cost& sum, const Cost& cost)
    {
        add(sum.corePercent, cost.corePercent);
        add(sum.megabytes, cost.megabytes);
        add(sum.kilobytesPerSecond, cost.kilobytesPerSecond);
        add(sum.configReadsPerSecond, cost.configReadsPerSecond);
    }

    std::string exponent(double value)
    {
        std::ostringstream out;
        out.precision(1);
        const double shown = std::abs(value) < 0.05 ? 0 : value;
        out << std::fixed << shown;
        return out.str();
    }

    const Formula& mainFormula(const RowSpec& row)
    {
        if (!row.bytesPerSecond.empty())
            return row.bytesPerSecond;
        if (!row.bytes.empty())
            return row.bytes;
        return row.microsecondsPerSecond.empty() ? row.configReadsPerSecond : row.microsecondsPerSecond;
    }

    std::string growth(const Model& model, const Slopes& slopes, const RowSpec& row)
    {
        const auto& formula = mainFormula(row);
        if (formula.empty())
            return "";
        return "n " + exponent(growthExponent(model, slopes, formula, "nodes")) + ", w " + exponent(growthExponent(model, slopes, formula, "workers"));
    }

    std::string verdict(const std::optional<double>& value, double limit)
    {
        if (!value)
            return "";
        if (*value <= limit)
            return "within " + number(limit);
        return "**over " + number(limit) + " by " + number(*value - limit) + "**";
    }

    std::string verdicts(const std::optional<double>& mean, const std::optional<double>& largest, double limit)
    {
        const auto left = verdict(mean, limit);
        const auto right = verdict(largest, limit);
        return left == right ? left : left + " / " + right;
    }

    class Page {
    public:
        Page(const Model& model, const Slopes& slopes)
            : m_model(model)
            , m_slopes(slopes)
            , m_mean(model, slopes, RegionSize::Mean)
            , m_largest(model, slopes, RegionSize::Largest)
        {
        }

        std::string render()
        {
            m_out << introduction;
            renderInputs();
            for (const auto& section : m_model.sections)
                renderSection(section);
            renderTimings();
            renderNotes();
            renderSlopes();
            return m_out.str();
        }

    private:
        void renderInputs()
        {
            m_out << "\n## Size\n\n| figure | value |\n|---|---|\n";
            for (const auto& [name, value] : m_model.inputs)
                m_out << "| " << name << " | " << number(value) << " |\n";
            m_out << "\n| worked out | mean region | largest region |\n|---|---|---|\n";
            for (const auto& [name, formula] : m_model.derived)
                m_out << "| " << name << " | " << number(m_mean.value(formula)) << " | " << number(m_largest.value(formula)) << " |\n";
        }

        void renderSection(const SectionSpec& section)
        {
            m_out << "\n## " << section.title << "\n\n";
            if (!section.text.empty())
                m_out << section.text << "\n\n";
            m_out << "| mechanism | module | core % | MB | KB/s | config reads/s, fleet | grows |\n|---|---|---|---|---|---|---|\n";
            Cost meanSum;
            Cost largestSum;
            for (const auto& row : section.rows) {
                const auto mean = m_mean.cost(row);
                const auto largest = m_largest.cost(row);
                add(meanSum, mean);
                add(largestSum, largest);
                renderRow(row, mean, largest);
            }
            renderSums(section, meanSum, largestSum);
        }

        void renderRow(const RowSpec& row, const Cost& mean, const Cost& largest)
        {
            m_out << "| **" << row.mechanism << "**";
            if (!row.what.empty())
                m_out << ": " << row.what;
            if (!row.shipped)
                m_out << " (gap: not on the daemon's path yet)";
            m_out << " | " << (row.module.empty() ? "" : "`" + row.module + "`");
            m_out << " | " << cell(mean.corePercent, largest.corePercent) << " | " << cell(mean.megabytes, largest.megabytes);
            m_out << " | " << cell(mean.kilobytesPerSecond, largest.kilobytesPerSecond);
            m_out << " | " << cell(mean.configReadsPerSecond, largest.configReadsPerSecond);
            m_out << " | " << growth(m_model, m_slopes, row) << " |\n";
        }

        void renderSums(const SectionSpec& section, const Cost& mean, const Cost& largest)
        {
            m_out << "| sum | | " << cell(mean.corePercent, largest.corePercent) << " | " << cell(mean.megabytes, largest.megabytes);
            m_out << " | " << cell(mean.kilobytesPerSecond, largest.kilobytesPerSecond);
            m_out << " | " << cell(mean.configReadsPerSecond, largest.configReadsPerSecond) << " | |\n";
            if (!section.limited)
                return;
            m_out << "| limit | | " << verdicts(mean.corePercent, largest.corePercent, limit("control_core_percent"));
            m_out << " | " << verdicts(mean.megabytes, largest.megabytes, limit("control_megabytes"));
            m_out << " | " << verdicts(mean.kilobytesPerSecond, largest.kilobytesPerSecond, limit("control_kilobytes_per_second"));
            m_out << " | " << verdicts(mean.configReadsPerSecond, largest.configReadsPerSecond, limit("config_reads_per_second")) << " | |\n";
        }

        void renderTimings()
        {
            if (m_model.timings.empty())
                return;
            m_out << "\n## Times\n\n| what | mean region | largest region | limit | verdict |\n|---|---|---|---|---|\n";
            for (const auto& timing : m_model.timings) {
                const double mean = m_mean.value(timing.milliseconds);
                const double largest = m_largest.value(timing.milliseconds);
                m_out << "| **" << timing.title << "**: " << timing.text << " | " << number(mean) << " ms | " << number(largest) << " ms | ";
                if (timing.limit.empty())
                    m_out << "| |\n";
                else
                    m_out << number(limit(timing.limit)) << " ms | " << verdicts(mean, largest, limit(timing.limit)) << " |\n";
            }
        }

        void renderNotes()
        {
            if (m_model.notes.empty())
                return;
            m_out << "\n## Findings\n\n";
            for (const auto& note : m_model.notes)
                m_out << "- " << note << "\n";
        }

        void renderSlopes()
        {
            m_out << "\n## Measured slopes\n\nCost = base + slope * size, least squares over the points; the residue is the root mean\n"
                     "square of what the line misses, in percent of the mean cost. A base below zero only means that\n"
                     "the line bends at small sizes.\n\n"
                     "| slope | unit | base | slope | per | residue % | points (size: cost) |\n|---|---|---|---|---|---|---|\n";
            for (const auto& [name, slope] : m_slopes) {
                m_out << "| " << name << " | " << slope.unit << " | " << number(slope.base) << " | " << number(slope.perUnit) << " | " << slope.against
                      << " | " << number(slope.residuePercent) << " | ";
                const char* separator = "";
                for (const auto& point : slope.points) {
                    m_out << separator << number(point.size) << ": " << number(point.cost);
                    separator = ", ";
                }
                m_out << " |\n";
            }
        }

        double limit(const std::string& name) const { return m_mean.value(name); }

        const Model& m_model;
        const Slopes& m_slopes;
        Calculator m_mean;
        Calculator m_largest;
        std::ostringstream m_out;
    };

} // namespace

std::string renderPage(const Model& model, const Slopes& slopes)
{
    return Page(model, slopes).render();
}

} // namespace yuccashift::capacity
