#include "cli/command.hpp"
#include "yuccashift/document/parser.hpp"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <sstream>

namespace yuccashift::cli {
namespace {

    std::vector<std::string> exampleFiles()
    {
        std::vector<std::string> files;
        for (const auto& entry : std::filesystem::recursive_directory_iterator("examples")) {
            if (entry.path().extension() == ".yaml")
                files.push_back(entry.path().string());
        }
        return files;
    }

    Document parseFile(const std::string& name)
    {
        std::ostringstream text;
        text << std::ifstream(name).rdbuf();
        const auto document = parseDocument(text.str());
        EXPECT_TRUE(document) << name;
        return document ? *document : Document();
    }

    TEST(Examples, EveryFilePassesValidate)
    {
        auto arguments = exampleFiles();
        ASSERT_GE(arguments.size(), 10u);
        arguments.insert(arguments.begin(), "validate");
        std::ostringstream out;
        std::ostringstream err;
        EXPECT_EQ(runCommand(arguments, { out, err }), ExitCode::Ok) << out.str() << err.str();
    }

    TEST(Examples, HaveTheBackendCountsOfTheTwoDeployments)
    {
        const std::map<std::string, std::size_t> backendCounts {
            { "examples/kolanut/yucca-draft.yaml", 20 },
            { "examples/kolanut/ledger-app.yaml", 3 },
            { "examples/association/pass-assistant.yaml", 12 },
            { "examples/association/pass-ledger.yaml", 3 },
        };
        for (const auto& [file, count] : backendCounts)
            EXPECT_EQ(parseFile(file).backends.size(), count) << file;
    }

} // namespace
} // namespace yuccashift::cli
