#pragma once

#include "benchmarks/capacity/fit.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccashift::capacity {

/** Product of factors: a number, a name, or `/name` to divide by it. */
using Product = std::vector<std::string>;
/** Sum of products. */
using Formula = std::vector<Product>;

/** What a row costs one node, or the fleet where the column says so. */
struct Cost {
    /** Percent of one core. */
    std::optional<double> corePercent;
    std::optional<double> megabytes;
    std::optional<double> kilobytesPerSecond;
    /** Calls and waiting watches on the configuration service, whole fleet. */
    std::optional<double> configReadsPerSecond;
};

/** One mechanism of one role, as the table of rows describes it. */
struct RowSpec {
    std::string mechanism;
    std::string module;
    /** State and messages in one line. */
    std::string what;
    Formula microsecondsPerSecond;
    Formula bytes;
    Formula bytesPerSecond;
    Formula configReadsPerSecond;
    /** Whether the module is on the daemon's path or only described. */
    bool shipped = true;
};

/** A table of rows with its limits, such as one role or one worst hour. */
struct SectionSpec {
    std::string title;
    std::string text;
    /** Whether the control limits apply to the sum of the rows. */
    bool limited = true;
    std::vector<RowSpec> rows;
};

/** A statement on latency or time: a sum of milliseconds against a limit. */
struct TimingSpec {
    std::string title;
    std::string text;
    Formula milliseconds;
    std::string limit;
};

/** Everything that size.yaml and rows.yaml say. */
struct Model {
    std::map<std::string, double> inputs;
    std::map<std::string, Formula> derived;
    std::vector<SectionSpec> sections;
    std::vector<TimingSpec> timings;
    std::vector<std::string> notes;
};

/** Region that a calculation is made for. */
enum class RegionSize {
    Mean,
    Largest,
};

/** Reads both tables. Throws std::runtime_error with the place of a fault. */
Model parseModel(const std::string& sizeYaml, const std::string& rowsYaml);

/** Computes formulas over a model, its slopes and one size of region. */
class Calculator {
public:
    Calculator(const Model&, const Slopes&, RegionSize);

    /** Replaces one input, to see how results grow with it. */
    void scaleInput(const std::string& name, double factor);
    /**
     * Value of an input, a derived quantity, `slope`, `slope.base`, or
     * `slope@quantity` for the cost read off the measured points at that size.
     * Throws on unknown names.
     */
    double value(const std::string& name) const;
    double value(const Formula&) const;
    Cost cost(const RowSpec&) const;

private:
    double factor(const std::string& text) const;

    const Model& m_model;
    const Slopes& m_slopes;
    std::map<std::string, double> m_inputs;
};

/** Exponent with which a formula grows when this input doubles; 1 is linear. */
double growthExponent(const Model&, const Slopes&, const Formula&, const std::string& input);

} // namespace yuccashift::capacity
