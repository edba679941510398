#include "yuccashift/document/parser.hpp"
#include "yuccashift/kernel/settings.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <regex>
#include <set>
#include <sstream>

namespace yuccashift {
namespace {

    std::string readSource(const std::string& path)
    {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    struct FieldRow {
        std::string path;
        std::string type;
        std::string defaultValue;
        std::string bound;

        std::string key() const { return path.substr(path.rfind('.') + 1); }
    };

    /** Rows of the page's field table in the section with this heading. */
    std::vector<FieldRow> fieldsBelow(const std::string& heading)
    {
        std::istringstream page(readSource("docs/SCHEMA.md"));
        const std::regex row(R"(\| `([^`]+)` \| *([^|]*?) *\| *([^|]*?) *\| *([^|]*?) *\|.*)");
        std::vector<FieldRow> fields;
        bool inside = false;
        for (std::string line; std::getline(page, line);) {
            if (line.starts_with("## "))
                inside = line == heading;
            std::smatch match;
            if (inside && std::regex_match(line, match, row))
                fields.push_back({ match[1], match[2], match[3], match[4] });
        }
        return fields;
    }

    /** Keys that the code in a source file reads with its `reader`. */
    std::multiset<std::string> keysOf(const std::string& source)
    {
        const std::string text = readSource(source);
        const std::regex call(R"re((?:reader\.(?:text|name|number|integer|duration|boolean|endpoint|choice|names|section|list)|readSecret)\((?:reader, )?"([a-z0-9_]+)")re");
        std::multiset<std::string> keys;
        for (std::sregex_iterator it(text.begin(), text.end(), call), end; it != end; ++it)
            keys.insert((*it)[1]);
        return keys;
    }

    std::multiset<std::string> keysOf(const std::vector<FieldRow>& rows)
    {
        std::multiset<std::string> keys;
        for (const auto& row : rows)
            keys.insert(row.key().ends_with("[]") ? row.key().substr(0, row.key().size() - 2) : row.key());
        return keys;
    }

    /** Parses the bound of a row, written as `low to high`; returns false if it has another form. */
    bool numericBound(const FieldRow& row, std::string& low, std::string& high)
    {
        const std::regex bound(R"(([0-9.]+) to ([0-9.]+))");
        std::smatch match;
        if (!std::regex_match(row.bound, match, bound))
            return false;
        low = match[1];
        high = match[2];
        return true;
    }

    /** Fragments of valid documents by parent field, in which @ stands for the field under test. */
    const std::map<std::string, std::string> documentParts {
        { "", "{service: s, owner: o, kind: model, regions: [r], models: [{name: m, version: v}], routes: [{name: c, path: /c}]" },
        { "backends[]", "backends: [{name: b, region: r, datacentre: d, address: \"1.2.3.4:5\", @}]" },
        { "routes[]", "routes: [{name: c, path: /c, @}]" },
        { "organisations[]", "organisations: [{name: g, credential_sha256: [" + std::string(64, '0') + "], @}]" },
        { "organisations[].limits", "organisations: [{name: g, credential_sha256: [" + std::string(64, '0') + "], limits: {@}}]" },
    };

    std::string parentOf(const FieldRow& row)
    {
        const auto dot = row.path.rfind('.');
        return dot == std::string::npos ? "" : row.path.substr(0, dot);
    }

    std::string documentWith(const FieldRow& row, const std::string& value)
    {
        const std::string entry = row.key() + ": " + value;
        const auto parent = parentOf(row);
        if (parent.empty())
            return documentParts.at("") + (row.key() == "revision" ? "" : ", revision: 1") + ", " + entry + "}";
        const auto it = documentParts.find(parent);
        std::string part = it == documentParts.end() ? parent + ": {@}" : it->second;
        part.replace(part.find('@'), 1, entry);
        std::string base = documentParts.at("");
        if (parent == "routes[]")
            base.resize(base.find(", routes"));
        return base + ", revision: 1, " + part + "}";
    }

    std::string settingsWith(const FieldRow& row, const std::string& value)
    {
        const std::string entry = row.key() + ": " + value;
        const auto parent = parentOf(row);
        return "{instance: i, region: r, datacentre: d, peer_key: 0123456789abcdef, operator_token: 0123456789abcdef, "
               "listen: {callers: \"1.1.1.1:1\", peers: \"1.1.1.1:2\", operators: \"1.1.1.1:3\"}, "
               "platform: {config_service: \"1.1.1.1:4\", instance_list: \"1.1.1.1:5\"}, "
            + (parent.empty() ? entry : parent + ": {" + entry + "}") + "}";
    }

    std::string above(const std::string& high)
    {
        return std::to_string(std::stod(high) * 1.01 + 1);
    }

    std::string below(const std::string& low)
    {
        return std::to_string(std::stod(low) - 0.5);
    }

    TEST(SchemaPage, NamesEveryKeyOfADocumentAndNoOther)
    {
        EXPECT_EQ(keysOf(fieldsBelow("## Service document")), keysOf("src/yuccashift/document/parser.cpp"));
    }

    TEST(SchemaPage, NamesEveryKeyOfSettingsAndNoOther)
    {
        EXPECT_EQ(keysOf(fieldsBelow("## Settings of an instance")), keysOf("src/yuccashift/kernel/settings.cpp"));
    }

    TEST(SchemaPage, BoundsOfNumbersInDocumentsAreThoseOfTheParser)
    {
        int checked = 0;
        for (const auto& row : fieldsBelow("## Service document")) {
            std::string low;
            std::string high;
            if (row.type == "text" || !numericBound(row, low, high))
                continue;
            ++checked;
            EXPECT_TRUE(parseDocument(documentWith(row, low))) << row.path;
            EXPECT_TRUE(parseDocument(documentWith(row, high))) << row.path;
            EXPECT_FALSE(parseDocument(documentWith(row, below(low)))) << row.path;
            EXPECT_FALSE(parseDocument(documentWith(row, above(high)))) << row.path;
        }
        EXPECT_GE(checked, 15);
    }

    TEST(SchemaPage, BoundsOfNumbersInSettingsAreThoseOfTheParser)
    {
        int checked = 0;
        for (const auto& row : fieldsBelow("## Settings of an instance")) {
            std::string low;
            std::string high;
            if (!numericBound(row, low, high))
                continue;
            ++checked;
            EXPECT_TRUE(parseSettings(settingsWith(row, low))) << row.path;
            EXPECT_TRUE(parseSettings(settingsWith(row, high))) << row.path;
            EXPECT_FALSE(parseSettings(settingsWith(row, below(low)))) << row.path;
            EXPECT_FALSE(parseSettings(settingsWith(row, above(high)))) << row.path;
        }
        EXPECT_GE(checked, 8);
    }

    TEST(SchemaPage, DefaultsOfDocumentsAreThoseOfTheParser)
    {
        int checked = 0;
        for (const auto& row : fieldsBelow("## Service document")) {
            if (row.defaultValue.empty() || row.defaultValue == "required" || row.defaultValue == "empty")
                continue;
            const auto written = parseDocument(documentWith(row, row.defaultValue));
            ASSERT_TRUE(written) << row.path << ": " << format(written.error(), "");
            ++checked;
            const auto absent = parseDocument(std::regex_replace(documentWith(row, row.defaultValue), std::regex("(, )?" + row.key() + ": " + row.defaultValue), ""));
            ASSERT_TRUE(absent) << row.path << ": " << format(absent.error(), "");
            EXPECT_EQ(*written, *absent) << row.path;
        }
        EXPECT_GE(checked, 15);
    }

    TEST(SchemaPage, DefaultsOfSettingsAreThoseOfTheParser)
    {
        const Settings defaults;
        std::map<std::string, std::string> expected {
            { "threads", std::to_string(defaults.threads) },
            { "bounds.connections", std::to_string(defaults.bounds.maxConnections) },
            { "bounds.header_bytes", std::to_string(defaults.bounds.maxHeaderBytes) },
            { "bounds.body_bytes", std::to_string(defaults.bounds.maxBodyBytes) },
            { "bounds.memory_mb", std::to_string(defaults.bounds.memoryMb) },
            { "bounds.receive_timeout_ms", std::to_string(defaults.bounds.receiveTimeout.count()) },
            { "bounds.progress_timeout_ms", std::to_string(defaults.bounds.progressTimeout.count()) },
            { "bounds.keys", std::to_string(defaults.bounds.maxKeys) },
            { "bounds.key_lifetime_ms", std::to_string(defaults.bounds.keyLifetime.count()) },
            { "policies.backend", defaults.policies.backend },
            { "policies.region", defaults.policies.region },
            { "policies.entry", defaults.policies.entry },
            { "log_level", defaults.logLevel },
            { "platform.collector", "none" },
        };
        for (const auto& row : fieldsBelow("## Settings of an instance")) {
            if (row.defaultValue.empty() || row.defaultValue == "required")
                continue;
            ASSERT_TRUE(expected.contains(row.path)) << row.path;
            EXPECT_EQ(row.defaultValue, expected.at(row.path)) << row.path;
            expected.erase(row.path);
        }
        EXPECT_TRUE(expected.empty()) << expected.begin()->first;
    }

} // namespace
} // namespace yuccashift
