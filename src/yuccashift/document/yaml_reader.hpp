#pragma once

#include "yuccashift/document/fault.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <chrono>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace yuccashift::detail {

/** Inclusive bounds of a number. */
struct Range {
    double low;
    double high;
};

/** A word in a file and the number of the value it stands for. */
struct Choice {
    std::string_view word;
    int value;
};

/**
 * Checked reading of one YAML mapping. Every fault is collected instead of
 * stopping at the first, and finish() reports the keys that nobody asked for.
 */
class YamlReader {
public:
    YamlReader(const YAML::Node&, std::string path, Faults&);

    /** Required texts must be present and not empty. */
    void text(const std::string& key, std::string& out, bool required = false);
    /** Text of letters, digits, `-`, `_` and `.`, at most 64 characters. */
    void name(const std::string& key, std::string& out, bool required = true);
    void number(const std::string& key, double& out, Range, bool required = false);
    template <typename Integer>
    void integer(const std::string& key, Integer& out, Range range, bool required = false)
    {
        double value = static_cast<double>(out);
        if (wholeNumber(key, value, range, required))
            out = static_cast<Integer>(value);
    }
    void duration(const std::string& key, std::chrono::milliseconds& out, Range, bool required = false);
    void boolean(const std::string& key, bool& out);
    void endpoint(const std::string& key, Endpoint& out, bool required = false);
    template <typename Enum>
    void choice(const std::string& key, Enum& out, std::span<const Choice> choices, bool required = false)
    {
        int value = static_cast<int>(out);
        if (oneOf(key, value, choices, required))
            out = static_cast<Enum>(value);
    }
    void names(const std::string& key, std::vector<std::string>& out, bool required = false);
    /** Reads a nested mapping; absent mappings are left at their defaults. */
    void section(const std::string& key, const std::function<void(YamlReader&)>&);
    /** Reads each mapping of a list. */
    void list(const std::string& key, std::size_t most, const std::function<void(YamlReader&)>&);
    /** Reports unknown keys; call last. */
    void finish();
    /** Reports a fault at a key of this mapping. */
    void fault(const std::string& key, std::string expected);

private:
    YAML::Node take(const std::string& key, bool required, const char* expected);
    bool scalar(const YAML::Node&, const std::string& key, std::string& out, const char* expected);
    bool wholeNumber(const std::string& key, double& out, Range, bool required);
    bool oneOf(const std::string& key, int& out, std::span<const Choice>, bool required);
    std::string pathOf(const std::string& key) const;
    int lineOf(const YAML::Node&) const;

    YAML::Node m_node;
    std::string m_path;
    Faults& m_faults;
    std::set<std::string> m_known;
};

/** Parses the text and runs the reader over its mapping; syntax errors become faults. */
void readYaml(const std::string& text, Faults&, const std::function<void(YamlReader&)>&);

} // namespace yuccashift::detail
