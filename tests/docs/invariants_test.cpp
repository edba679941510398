#include <algorithm>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <regex>
#include <set>
#include <sstream>

namespace yuccashift {
namespace {

    using Names = std::set<std::string>;

    std::string textOf(const std::filesystem::path& path)
    {
        std::ostringstream text;
        text << std::ifstream(path).rdbuf();
        return text.str();
    }

    Names matchesOf(const std::string& text, const char* pattern)
    {
        Names names;
        const std::regex regex(pattern);
        for (std::sregex_iterator it(text.begin(), text.end(), regex), end; it != end; ++it)
            names.insert(it->size() > 2 ? it->str(1) + "." + it->str(2) : it->str(1));
        return names;
    }

    /** Names in backquotes in the page's lines of one kind, such as `Tests`. */
    Names namedIn(const std::string& page, const std::string& kind)
    {
        Names names;
        std::istringstream lines(page);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("- **" + kind + "**"))
                names.merge(matchesOf(line, "`([^`]+)`"));
        }
        return names;
    }

    Names testsInSources()
    {
        Names tests;
        for (const auto& entry : std::filesystem::recursive_directory_iterator("tests")) {
            if (entry.path().string().ends_with("_test.cpp"))
                tests.merge(matchesOf(textOf(entry.path()), R"(TEST(?:_F|_P)?\((\w+), *(\w+)\))"));
        }
        return tests;
    }

    /** Names of all fuzzers and of their seeded faults. */
    Names faultsInSources()
    {
        Names faults;
        for (const auto& entry : std::filesystem::directory_iterator("fuzzing")) {
            if (!entry.path().string().ends_with("_fuzz.cpp"))
                continue;
            faults.insert(entry.path().stem().string());
            const auto text = textOf(entry.path());
            for (const auto& list : matchesOf(text, R"(mutants\(\) const override\s*\{\s*return \{([^}]*)\})"))
                faults.merge(matchesOf(list, "\"([^\"]+)\""));
            faults.merge(matchesOf(text, "\\{ \"([^\"]+)\", Mutant::"));
        }
        return faults;
    }

    Names missing(const Names& named, const Names& existing)
    {
        Names absent;
        std::ranges::set_difference(named, existing, std::inserter(absent, absent.end()));
        return absent;
    }

    struct TheInvariantsPage : testing::Test {
        const std::string page = textOf("docs/INVARIANTS.md");
    };

    TEST_F(TheInvariantsPage, NamesOnlyTestsThatExist)
    {
        const auto named = namedIn(page, "Tests");
        EXPECT_FALSE(named.empty());
        EXPECT_EQ(missing(named, testsInSources()), Names {});
    }

    TEST_F(TheInvariantsPage, NamesOnlyModulesThatExist)
    {
        const auto named = namedIn(page, "Modules");
        EXPECT_FALSE(named.empty());
        for (const auto& module : named)
            EXPECT_TRUE(std::filesystem::exists(module)) << module;
    }

    TEST_F(TheInvariantsPage, NamesEveryFuzzerAndSeededFaultAndNoOther)
    {
        const auto existing = faultsInSources();
        EXPECT_GT(existing.size(), 40U);
        EXPECT_EQ(namedIn(page, "Fuzzers"), existing);
    }

    TEST_F(TheInvariantsPage, SaysForEachInvariantWhatCarriesIt)
    {
        const auto numbers = matchesOf(page, "## I(\\d+) ");
        for (const auto* kind : { "Meaning", "Mechanism", "Modules", "Tests", "Fuzzers", "Residual risk" }) {
            std::size_t lines = 0;
            const auto mark = std::string("\n- **") + kind + "**: ";
            for (auto at = page.find(mark); at != std::string::npos; at = page.find(mark, at + 1))
                ++lines;
            EXPECT_EQ(lines, numbers.size()) << kind;
        }
        EXPECT_GE(numbers.size(), 9U);
    }

} // namespace
} // namespace yuccashift
