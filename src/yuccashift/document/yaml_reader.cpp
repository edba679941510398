#include "yuccashift/document/yaml_reader.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace yuccashift::detail {

namespace {

    constexpr std::size_t maxNameLength = 64;
    constexpr std::size_t maxTextBytes = 1024;
    constexpr std::size_t maxNames = 1024;

    bool isName(const std::string& text)
    {
        const auto allowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
        return !text.empty() && text.size() <= maxNameLength && std::ranges::all_of(text, allowed);
    }

    std::string describeRange(Range range)
    {
        std::ostringstream out;
        out << "a number from " << range.low << " to " << range.high;
        return out.str();
    }

    bool parseNumber(const std::string& text, double& value)
    {
        try {
            std::size_t parsedLength = 0;
            value = std::stod(text, &parsedLength);
            return parsedLength == text.size() && std::isfinite(value);
        } catch (const std::exception&) {
            return false;
        }
    }

} // namespace

YamlReader::YamlReader(const YAML::Node& node, std::string path, Faults& faults)
    : m_node(node)
    , m_path(std::move(path))
    , m_faults(faults)
{
}

void YamlReader::text(const std::string& key, std::string& out, bool required)
{
    const auto node = lookUp(key, required, "a text");
    std::string value;
    if (!node || !readScalar(node, key, value, "a text"))
        return;
    if (value.size() > maxTextBytes || (required && value.empty())) {
        fault(key, "a text of 1 to 1024 bytes");
        return;
    }
    out = value;
}

void YamlReader::name(const std::string& key, std::string& out, bool required)
{
    constexpr const char* expected = "a name of at most 64 letters, digits, '-', '_' and '.'";
    const auto node = lookUp(key, required, expected);
    std::string value;
    if (!node || !readScalar(node, key, value, expected))
        return;
    if (!isName(value)) {
        fault(key, expected);
        return;
    }
    out = value;
}

void YamlReader::number(const std::string& key, double& out, Range range, bool required)
{
    const auto expected = describeRange(range);
    const auto node = lookUp(key, required, expected.c_str());
    std::string text;
    if (!node || !readScalar(node, key, text, expected.c_str()))
        return;
    double value = 0;
    if (!parseNumber(text, value) || value < range.low || value > range.high) {
        fault(key, expected);
        return;
    }
    out = value;
}

bool YamlReader::readWholeNumber(const std::string& key, double& out, Range range, bool required)
{
    const auto faultCount = m_faults.size();
    double value = out;
    number(key, value, range, required);
    if (m_faults.size() != faultCount)
        return false;
    if (value != std::floor(value)) {
        fault(key, "a whole number");
        return false;
    }
    out = value;
    return true;
}

void YamlReader::duration(const std::string& key, std::chrono::milliseconds& out, Range range, bool required)
{
    auto count = out.count();
    integer(key, count, range, required);
    out = std::chrono::milliseconds(count);
}

void YamlReader::boolean(const std::string& key, bool& out)
{
    const auto node = lookUp(key, false, "true or false");
    std::string value;
    if (!node || !readScalar(node, key, value, "true or false"))
        return;
    if (value != "true" && value != "false") {
        fault(key, "true or false");
        return;
    }
    out = value == "true";
}

void YamlReader::endpoint(const std::string& key, Endpoint& out, bool required)
{
    constexpr const char* expected = "an address as ip:port";
    const auto node = lookUp(key, required, expected);
    std::string value;
    if (!node || !readScalar(node, key, value, expected))
        return;
    if (!parseEndpoint(value, out))
        fault(key, expected);
}

bool YamlReader::readChoice(const std::string& key, int& out, std::span<const Choice> choices, bool required)
{
    std::string expected = "one of";
    for (const auto& choice : choices)
        expected += " " + std::string(choice.word);
    const auto node = lookUp(key, required, expected.c_str());
    std::string value;
    if (!node || !readScalar(node, key, value, expected.c_str()))
        return false;
    const auto it = std::ranges::find(choices, std::string_view(value), &Choice::word);
    if (it == choices.end()) {
        fault(key, expected);
        return false;
    }
    out = it->value;
    return true;
}

void YamlReader::names(const std::string& key, std::vector<std::string>& out, bool required)
{
    constexpr const char* expected = "a list of names, each once";
    const auto node = lookUp(key, required, expected);
    if (!node)
        return;
    if (!node.IsSequence() || node.size() > maxNames) {
        fault(key, expected);
        return;
    }
    std::set<std::string> seen;
    for (const auto& item : node) {
        if (!item.IsScalar() || !isName(item.Scalar()) || !seen.insert(item.Scalar()).second) {
            fault(key, expected);
            return;
        }
        out.push_back(item.Scalar());
    }
    if (required && out.empty())
        fault(key, "at least one name");
}

void YamlReader::section(const std::string& key, const std::function<void(YamlReader&)>& read)
{
    const auto node = lookUp(key, false, "a mapping");
    if (!node)
        return;
    if (!node.IsMap()) {
        fault(key, "a mapping");
        return;
    }
    YamlReader reader(node, pathOf(key), m_faults);
    read(reader);
    reader.finish();
}

void YamlReader::list(const std::string& key, std::size_t maxItems, const std::function<void(YamlReader&)>& read)
{
    const auto node = lookUp(key, false, "a list");
    if (!node)
        return;
    if (!node.IsSequence() || node.size() > maxItems) {
        fault(key, "a list of at most " + std::to_string(maxItems) + " entries");
        return;
    }
    for (std::size_t n = 0; n < node.size(); ++n) {
        const auto path = pathOf(key) + "[" + std::to_string(n) + "]";
        if (!node[n].IsMap()) {
            m_faults.push_back({ lineOf(node[n]), path, "a mapping" });
            continue;
        }
        YamlReader reader(node[n], path, m_faults);
        read(reader);
        reader.finish();
    }
}

void YamlReader::finish()
{
    std::set<std::string> seen;
    for (const auto& entry : m_node) {
        if (!entry.first.IsScalar()) {
            m_faults.push_back({ lineOf(entry.first), m_path, "keys that are texts" });
            continue;
        }
        const auto& key = entry.first.Scalar();
        if (!m_requestedKeys.contains(key))
            m_faults.push_back({ lineOf(entry.first), pathOf(key), "no such key" });
        if (!seen.insert(key).second)
            m_faults.push_back({ lineOf(entry.first), pathOf(key), "each key once" });
    }
}

void YamlReader::fault(const std::string& key, std::string expected)
{
    const auto node = m_node[key];
    m_faults.push_back({ lineOf(node ? node : m_node), pathOf(key), std::move(expected) });
}

YAML::Node YamlReader::lookUp(const std::string& key, bool required, const char* expected)
{
    m_requestedKeys.insert(key);
    // operator[] of a const node does not add a missing key to the mapping.
    const YAML::Node& view = m_node;
    const YAML::Node node = view[key];
    if (node && !node.IsNull())
        return node;
    if (required)
        fault(key, expected);
    return YAML::Node(YAML::NodeType::Undefined);
}

bool YamlReader::readScalar(const YAML::Node& node, const std::string& key, std::string& out, const char* expected)
{
    if (!node.IsScalar()) {
        fault(key, expected);
        return false;
    }
    out = node.Scalar();
    return true;
}

std::string YamlReader::pathOf(const std::string& key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

int YamlReader::lineOf(const YAML::Node& node) const
{
    return node.Mark().line + 1;
}

void readYaml(const std::string& text, Faults& faults, const std::function<void(YamlReader&)>& read)
{
    try {
        const auto root = YAML::Load(text);
        if (!root.IsMap()) {
            faults.push_back({ 1, "", "a mapping" });
            return;
        }
        YamlReader reader(root, "", faults);
        read(reader);
        reader.finish();
    } catch (const YAML::Exception& e) {
        faults.push_back({ e.mark.line + 1, "", "valid YAML (" + e.msg + ")" });
    }
}

} // namespace yuccashift::detail
