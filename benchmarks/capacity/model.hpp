#pragma once

#include "benchmarks/capacity/fit.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yuccashift::capacity {

/** Factors that are multiplied: a number, a name, or `/name` to divide by its value. */
using Product = std::vector<std::string>;
/** Sum of products. */
using Formula = std::vector<Product>;

/** Cost of a row for one node, except where a field says that it is for the whole fleet. Absent values have no formula. */
struct Cost {
    /** Percent of one core. */
    std::optional<double> corePercent;
    std::optional<double> megabytes;
    std::optional<double> kilobytesPerSecond;
    /** Calls and pending watches on the configuration service, for the whole fleet. */
    std::optional<double> configReadsPerSecond;
};

/** One mechanism of one role, as defined in rows.yaml. */
struct RowSpec {
    std::string mechanism;
    std::string module;
    /** State and messages of the mechanism, in one line. */
    std::string what;
    Formula microsecondsPerSecond;
    Formula bytes;
    Formula bytesPerSecond;
    Formula configReadsPerSecond;
    /** False if the daemon does not use the module yet. */
    bool shipped = true;
};

/** A table of rows, such as one role or one worst hour. */
struct SectionSpec {
    std::string title;
    std::string text;
    /** Whether the control limits apply to the sum of the rows. */
    bool limited = true;
    std::vector<RowSpec> rows;
};

/** A duration in milliseconds that is compared with a limit, if it names one. */
struct TimingSpec {
    std::string title;
    std::string text;
    Formula milliseconds;
    std::string limit;
};

/** Contents of size.yaml and rows.yaml. */
struct Model {
    std::map<std::string, double> inputs;
    std::map<std::string, Formula> derived;
    std::vector<SectionSpec> sections;
    std::vector<TimingSpec> timings;
    std::vector<std::string> notes;
};

/** Region for which a cost is computed. */
enum class RegionSize {
    Mean,
    Largest,
};

/** Parses both files. Throws std::runtime_error with the position of the error. */
Model parseModel(const std::string& sizeYaml, const std::string& rowsYaml);

/** Evaluates formulas over a model, its slopes and one region size. */
class Calculator {
public:
    Calculator(const Model&, const Slopes&, RegionSize);

    /** Multiplies one input by a factor, to determine how results grow with it. */
    void scaleInput(const std::string& name, double factor);
    /**
     * Returns the value of an input, a derived quantity, `slope`, `slope.base`, or
     * `slope@quantity`: the cost interpolated between the measured points at that size.
     * Throws std::runtime_error for unknown names.
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

/** Returns the exponent with which a formula grows when the input doubles; 1 is linear, 0 is constant or a formula with value 0. */
double growthExponent(const Model&, const Slopes&, const Formula&, const std::string& input);

} // namespace yuccashift::capacity
