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

/** Range of valid numbers; both ends are included. */
struct Range {
    double low;
    double high;
};

/** A keyword in a file and the enumerator value that it represents. */
struct Choice {
    std::string_view word;
    int value;
};

/**
 * Reads and validates the fields of one YAML mapping. Faults are collected, and
 * reading continues after each. An absent optional key leaves the output
 * parameter unchanged. finish() reports the keys that were never read.
 */
class YamlReader {
public:
    YamlReader(const YAML::Node&, std::string path, Faults&);

    /** Reads a string; a required one must be present and not empty. */
    void text(const std::string& key, std::string& out, bool required = false);
    /** Reads a name: 1 to 64 letters, digits, `-`, `_` or `.`. */
    void name(const std::string& key, std::string& out, bool required = true);
    void number(const std::string& key, double& out, Range, bool required = false);
    template <typename Integer>
    void integer(const std::string& key, Integer& out, Range range, bool required = false)
    {
        double value = static_cast<double>(out);
        if (readWholeNumber(key, value, range, required))
            out = static_cast<Integer>(value);
    }
    void duration(const std::string& key, std::chrono::milliseconds& out, Range, bool required = false);
    void boolean(const std::string& key, bool& out);
    void endpoint(const std::string& key, Endpoint& out, bool required = false);
    template <typename Enum>
    void choice(const std::string& key, Enum& out, std::span<const Choice> choices, bool required = false)
    {
        int value = static_cast<int>(out);
        if (readChoice(key, value, choices, required))
            out = static_cast<Enum>(value);
    }
    void names(const std::string& key, std::vector<std::string>& out, bool required = false);
    /** Reads a nested mapping; the callback is not called if the key is absent. */
    void section(const std::string& key, const std::function<void(YamlReader&)>&);
    /** Calls the callback for each mapping of a list that has at most `maxItems` items. */
    void list(const std::string& key, std::size_t maxItems, const std::function<void(YamlReader&)>&);
    /** Reports unknown and repeated keys. Call it after all other reads. */
    void finish();
    /** Adds a fault for a key of this mapping. */
    void fault(const std::string& key, std::string expected);

private:
    YAML::Node lookUp(const std::string& key, bool required, const char* expected);
    bool readScalar(const YAML::Node&, const std::string& key, std::string& out, const char* expected);
    bool readWholeNumber(const std::string& key, double& out, Range, bool required);
    bool readChoice(const std::string& key, int& out, std::span<const Choice>, bool required);
    std::string pathOf(const std::string& key) const;
    int lineOf(const YAML::Node&) const;

    YAML::Node m_node;
    std::string m_path;
    Faults& m_faults;
    std::set<std::string> m_requestedKeys;
};

/** Parses the text and calls the callback with a reader for its top-level mapping. Syntax errors are added to the faults. */
void readYaml(const std::string& text, Faults&, const std::function<void(YamlReader&)>&);

} // namespace yuccashift::detail
