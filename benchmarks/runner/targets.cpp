#include "benchmarks/runner/targets.hpp"

#include <algorithm>
#include <iomanip>

namespace yuccashift::runner {
namespace {

    constexpr double validationPoint = 99;
    constexpr double maxValidationRatio = 1.3;
    constexpr double maxAwayRatio = 1.2;
    constexpr double maxCostRatio = 1.1;
    constexpr double maxAttemptsPerSend = 1.1;
    constexpr double maxRecoverySeconds = 10;
    /** Two figures count as tied if the larger is at most this multiple of the smaller. */
    constexpr double tieRatio = 1.05;
    constexpr double thousand = 1000;
    constexpr double percent = 100;

    const RunResult& rowOf(const ScenarioResult& scenario, std::string_view name)
    {
        return std::find_if(scenario.rows.begin(), scenario.rows.end(), [&](const auto& row) { return row.first == name; })->second;
    }

    double validation(const RunResult& result)
    {
        return result.classes[static_cast<std::size_t>(RequestClass::Validation)].percentile(validationPoint);
    }

    bool isBaseline(std::string_view name)
    {
        return name != shippedName && name != boundName && name != "local-only";
    }

    /** Returns true if no baseline beats the shipped policy by more than tieRatio, in missed urgent requests or in validation p99. */
    bool bestOrTied(const ScenarioResult& scenario, const RunResult& shipped)
    {
        return std::none_of(scenario.rows.begin(), scenario.rows.end(), [&](const auto& row) {
            if (!isBaseline(row.first))
                return false;
            const auto missed = static_cast<double>(shipped.urgentMissed());
            return missed > static_cast<double>(row.second.urgentMissed()) * tieRatio || validation(shipped) > validation(row.second) * tieRatio;
        });
    }

    std::string missedTargets(const ScenarioResult& scenario, const RunResult& shipped, const RunResult& bound)
    {
        std::string missed;
        const auto require = [&](bool met, const char* target) {
            if (!met)
                missed += (missed.empty() ? "" : ", ") + std::string(target);
        };
        require(validation(shipped) <= validation(bound) * maxValidationRatio, "validation");
        require(shipped.urgentMissed() <= bound.urgentMissed(), "urgent");
        require(shipped.awayShare() <= bound.awayShare() * maxAwayRatio, "away");
        require(shipped.costPerThousandTokens() <= bound.costPerThousandTokens() * maxCostRatio, "cost");
        require(shipped.attemptsPerSend() <= maxAttemptsPerSend, "attempts");
        require(shipped.recoverySeconds < maxRecoverySeconds, "recovery");
        require(bestOrTied(scenario, shipped), "baseline");
        return missed.empty() ? "none" : missed;
    }

} // namespace

void writeTargets(std::ostream& out, std::span<const ScenarioResult> scenarios)
{
    out << "| scenario | validation p99 ms, bound, ratio | urgent missed, bound | away %, bound | cost, bound, ratio | attempts | recovery s | missed targets |\n"
        << "|---|---|---|---|---|---|---|---|\n"
        << std::fixed;
    for (const auto& scenario : scenarios) {
        const auto& shipped = rowOf(scenario, shippedName);
        const auto& bound = rowOf(scenario, boundName);
        const double cost = shipped.costPerThousandTokens();
        out << "| " << scenario.name << std::setprecision(0) << " | " << validation(shipped) * thousand << ", " << validation(bound) * thousand << ", ";
        out << std::setprecision(2) << validation(shipped) / validation(bound) << " | " << shipped.urgentMissed() << ", " << bound.urgentMissed() << " | ";
        out << shipped.awayShare() * percent << ", " << bound.awayShare() * percent << " | ";
        out << cost << ", " << bound.costPerThousandTokens() << ", " << cost / bound.costPerThousandTokens() << " | ";
        out << std::setprecision(3) << shipped.attemptsPerSend() << std::setprecision(0) << " | " << shipped.recoverySeconds << " | ";
        out << missedTargets(scenario, shipped, bound) << " |\n";
    }
    out << "\n";
}

} // namespace yuccashift::runner
