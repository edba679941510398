#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <regex>
#include <set>
#include <sstream>

namespace yuccashift {
namespace {

    std::set<std::string> metricsIn(const std::filesystem::path& file)
    {
        std::ifstream in(file);
        std::ostringstream out;
        out << in.rdbuf();
        const std::string text = out.str();
        const std::regex quoted(R"([`"](yuccashift_[a-z_]+)[`"])");
        std::set<std::string> names;
        for (std::sregex_iterator it(text.begin(), text.end(), quoted), end; it != end; ++it)
            names.insert((*it)[1]);
        return names;
    }

    TEST(SignalsPage, NamesEveryMetricOfTheSourcesAndNoOther)
    {
        std::set<std::string> inSources;
        for (const auto& entry : std::filesystem::recursive_directory_iterator("src/yuccashift")) {
            if (entry.path().extension() == ".cpp")
                inSources.merge(metricsIn(entry.path()));
        }
        EXPECT_FALSE(inSources.empty());
        EXPECT_EQ(metricsIn("docs/SIGNALS.md"), inSources);
    }

} // namespace
} // namespace yuccashift
