#include "benchmarks/capacity/model.hpp"

#include <charconv>
#include <cmath>
#include <stdexcept>
#include <yaml-cpp/yaml.h>

namespace yuccashift::capacity {

namespace {

    constexpr double microsecondsPerCorePercent = 10000;
    constexpr double bytesPerMegabyte = 1e6;
    constexpr double bytesPerKilobyte = 1e3;
    constexpr const char* regionFactor = "region_factor";

    Product parseProduct(const YAML::Node& node)
    {
        if (node.IsScalar())
            return { node.as<std::string>() };
        Product product;
        for (const auto& factor : node)
            product.push_back(factor.as<std::string>());
        return product;
    }

    // A formula is a list of products; a scalar or a list of scalars is a single product.
    Formula parseFormula(const YAML::Node& node)
    {
        if (!node)
            return {};
        if (node.IsScalar() || node.size() == 0 || node[0].IsScalar())
            return { parseProduct(node) };
        Formula formula;
        for (const auto& product : node)
            formula.push_back(parseProduct(product));
        return formula;
    }

    std::string textOf(const YAML::Node& node, const char* key)
    {
        const auto value = node[key];
        return value ? value.as<std::string>() : std::string();
    }

    RowSpec parseRow(const YAML::Node& node)
    {
        RowSpec row;
        row.mechanism = node["mechanism"].as<std::string>();
        row.module = textOf(node, "module");
        row.what = textOf(node, "what");
        row.microsecondsPerSecond = parseFormula(node["us_per_second"]);
        row.bytes = parseFormula(node["bytes"]);
        row.bytesPerSecond = parseFormula(node["bytes_per_second"]);
        row.configReadsPerSecond = parseFormula(node["config_reads_per_second"]);
        row.shipped = node["shipped"].as<bool>(true);
        return row;
    }

    SectionSpec parseSection(const YAML::Node& node)
    {
        SectionSpec section;
        section.title = node["title"].as<std::string>();
        section.text = textOf(node, "text");
        section.limited = node["limited"].as<bool>(true);
        for (const auto& row : node["rows"])
            section.rows.push_back(parseRow(row));
        return section;
    }

    TimingSpec parseTiming(const YAML::Node& node)
    {
        return { node["title"].as<std::string>(), textOf(node, "text"), parseFormula(node["milliseconds"]), textOf(node, "limit") };
    }

    // Interpolates linearly between neighbouring points and extrapolates beyond the first and last.
    double interpolate(const Slope& slope, double size)
    {
        std::size_t n = 1;
        while (n + 1 < slope.points.size() && slope.points[n].size < size)
            ++n;
        const auto& left = slope.points[n - 1];
        const auto& right = slope.points[n];
        return left.cost + (size - left.size) * (right.cost - left.cost) / (right.size - left.size);
    }

    std::optional<double> evaluateInUnit(const Calculator& calculator, const Formula& formula, double unit)
    {
        if (formula.empty())
            return {};
        return calculator.value(formula) / unit;
    }

} // namespace

Model parseModel(const std::string& sizeYaml, const std::string& rowsYaml)
{
    Model model;
    try {
        for (const auto& group : YAML::Load(sizeYaml)) {
            for (const auto& input : group.second)
                model.inputs.emplace(input.first.as<std::string>(), input.second.as<double>());
        }
        const auto rows = YAML::Load(rowsYaml);
        for (const auto& item : rows["derived"])
            model.derived.emplace(item.first.as<std::string>(), parseFormula(item.second));
        for (const auto& section : rows["sections"])
            model.sections.push_back(parseSection(section));
        for (const auto& timing : rows["timings"])
            model.timings.push_back(parseTiming(timing));
        for (const auto& note : rows["notes"])
            model.notes.push_back(note.as<std::string>());
    } catch (const YAML::Exception& fault) {
        throw std::runtime_error(std::string("capacity tables: ") + fault.what());
    }
    return model;
}

Calculator::Calculator(const Model& model, const Slopes& slopes, RegionSize size)
    : m_model(model)
    , m_slopes(slopes)
    , m_inputs(model.inputs)
{
    m_inputs[regionFactor] = size == RegionSize::Largest ? m_inputs.at("largest_region_factor") : 1;
}

void Calculator::scaleInput(const std::string& name, double factor)
{
    m_inputs.at(name) *= factor;
}

double Calculator::value(const std::string& name) const
{
    if (const auto at = name.find('@'); at != std::string::npos) {
        const auto it = m_slopes.find(name.substr(0, at));
        if (it != m_slopes.end())
            return interpolate(it->second, value(name.substr(at + 1)));
    }
    if (const auto it = m_inputs.find(name); it != m_inputs.end())
        return it->second;
    if (const auto it = m_model.derived.find(name); it != m_model.derived.end())
        return value(it->second);
    if (const auto it = m_slopes.find(name); it != m_slopes.end())
        return it->second.perUnit;
    constexpr std::string_view baseSuffix = ".base";
    if (name.ends_with(baseSuffix)) {
        const auto it = m_slopes.find(name.substr(0, name.size() - baseSuffix.size()));
        if (it != m_slopes.end())
            return it->second.base;
    }
    throw std::runtime_error("capacity tables: unknown name '" + name + "'");
}

double Calculator::factor(const std::string& text) const
{
    double number = 0;
    const char* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, number);
    if (parsed.ec == std::errc() && parsed.ptr == last)
        return number;
    if (text.starts_with('/'))
        return 1 / factor(text.substr(1));
    return value(text);
}

double Calculator::value(const Formula& formula) const
{
    double sum = 0;
    for (const auto& product : formula) {
        double term = 1;
        for (const auto& text : product)
            term *= factor(text);
        sum += term;
    }
    return sum;
}

Cost Calculator::cost(const RowSpec& row) const
{
    return {
        evaluateInUnit(*this, row.microsecondsPerSecond, microsecondsPerCorePercent),
        evaluateInUnit(*this, row.bytes, bytesPerMegabyte),
        evaluateInUnit(*this, row.bytesPerSecond, bytesPerKilobyte),
        evaluateInUnit(*this, row.configReadsPerSecond, 1),
    };
}

double growthExponent(const Model& model, const Slopes& slopes, const Formula& formula, const std::string& input)
{
    const Calculator before(model, slopes, RegionSize::Mean);
    Calculator after(model, slopes, RegionSize::Mean);
    after.scaleInput(input, 2);
    const double low = before.value(formula);
    return low == 0 ? 0 : std::log2(after.value(formula) / low);
}

} // namespace yuccashift::capacity
