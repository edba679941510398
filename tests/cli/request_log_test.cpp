#include "cli/command.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace yuccashift::cli {
namespace {

    struct RequestLog : testing::Test {
        static std::string write(const std::string& name, const std::string& text)
        {
            auto path = testing::TempDir() + "yuccashift-log-" + name;
            std::ofstream(path) << text;
            return path;
        }

        ExitCode run(const std::vector<std::string>& arguments) { return runCommand(arguments, { out, err }); }

        std::ostringstream out;
        std::ostringstream err;
    };

    TEST_F(RequestLog, MergesTheLinesOfOneRequestFromSeveralInstancesInTimeOrder)
    {
        const auto first = write("a", "time=2026-01-01T00:00:00.100Z level=info instance=a event=\"sent to instance\" request=r1 peer=b\n"
                                      "time=2026-01-01T00:00:00.150Z level=info instance=a event=refused request=r12\n"
                                      "time=2026-01-01T00:00:00.300Z level=info instance=a event=\"request served\" request=r1 outcome=ok\n");
        const auto second = write("b", "prefix time=2026-01-01T00:00:00.200Z level=info instance=b event=\"sent to server\" request=r1 server=s\n");
        EXPECT_EQ(run({ "request-log", "r1", first, second }), ExitCode::Ok);
        const auto text = out.str();
        EXPECT_LT(text.find("sent to instance"), text.find("sent to server"));
        EXPECT_LT(text.find("sent to server"), text.find("request served"));
        EXPECT_EQ(text.find("r12"), std::string::npos);
        EXPECT_EQ(text.find("prefix"), std::string::npos);
    }

    TEST_F(RequestLog, ExitsWithNegativeIfNothingWasFoundAndWithUsageIfAFileIsMissing)
    {
        EXPECT_EQ(run({ "request-log", "r9", write("c", "time=x request=r1\n") }), ExitCode::Negative);
        EXPECT_EQ(run({ "request-log", "r9", "/nonexistent" }), ExitCode::Usage);
    }

} // namespace
} // namespace yuccashift::cli
