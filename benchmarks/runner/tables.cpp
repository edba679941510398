#include "benchmarks/runner/tables.hpp"

#include <iomanip>

namespace yuccashift::runner {
namespace {

    constexpr double thousand = 1000;
    constexpr double percent = 100;

    /** Writes p50 / p99 / p99.9 in milliseconds. */
    void writePercentiles(std::ostream& out, const ClassResult& result)
    {
        out << std::setprecision(0);
        for (const double point : { 50.0, 99.0, 99.9 })
            out << (point == 50.0 ? "" : " / ") << result.percentile(point) * thousand;
        out << " | ";
    }

    void writeRow(std::ostream& out, const std::string& name, const RunResult& result)
    {
        out << "| " << name << " | " << std::fixed;
        for (const auto& kind : result.classes)
            writePercentiles(out, kind);
        out << result.urgentMissed() << " | " << result.quietUrgent.missed() << " | " << result.offered() - result.answered() << " | " << result.refused() << " | ";
        out << std::setprecision(1) << result.goodput() << " | ";
        out << std::setprecision(2) << result.awayShare() * percent << " | " << result.cacheHitRate() * percent << " | ";
        out << result.costPerThousandTokens() << " | ";
        out << std::setprecision(3) << result.attemptsPerSend() << " | ";
        out << std::setprecision(0) << result.recoverySeconds << " |\n";
    }

} // namespace

void writeTable(std::ostream& out, const ScenarioResult& scenario)
{
    out << "### " << scenario.name << "\n\n"
        << scenario.description << ".\n\n| policy | ";
    for (const auto& kind : classSpecs())
        out << kind.name << " | ";
    out << "urgent missed | of quiet organisations | missed | refused | answered/s | away % | cache % | cost | attempts | recovery s |\n|---|";
    constexpr std::size_t figures = 10;
    for (std::size_t n = 0; n < classCount + figures; ++n)
        out << "---|";
    out << "\n";
    for (const auto& [name, result] : scenario.rows)
        writeRow(out, name, result);
    out << "\n";
}

} // namespace yuccashift::runner
