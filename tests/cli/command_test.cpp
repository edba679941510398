#include "cli/command.hpp"

#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

namespace yuccashift::cli {
namespace {

    constexpr const char* validDocument = R"(service: ledger-app
owner: kolanut
revision: 1
kind: plain
path_prefix: /ledger-app
regions: [lagos]
routes:
  - {name: rate, path: /rate}
)";

    class Client : public testing::Test {
    protected:
        ExitCode run(const std::vector<std::string>& arguments)
        {
            m_out.str("");
            m_err.str("");
            return runCommand(arguments, { m_out, m_err });
        }

        std::string write(const std::string& name, const std::string& text)
        {
            // Two runs of the tests may share the folder.
            auto path = testing::TempDir() + "yuccashift-cli-" + std::to_string(::getpid()) + "-" + name;
            std::ofstream(path) << text;
            return path;
        }

        std::ostringstream m_out;
        std::ostringstream m_err;
    };

    TEST_F(Client, WithoutACommandPrintsHelpAndExitsWithUsage)
    {
        EXPECT_EQ(run({}), ExitCode::Usage);
        EXPECT_NE(m_err.str().find("Usage"), std::string::npos);
    }

    TEST_F(Client, HelpListsEveryCommand)
    {
        EXPECT_EQ(run({ "help" }), ExitCode::Ok);
        for (const auto* name : { "validate", "status", "explain", "diff", "drain", "trace" })
            EXPECT_NE(m_out.str().find(name), std::string::npos) << name;
    }

    TEST_F(Client, InvalidArgumentsAreUsageErrors)
    {
        const std::vector<std::vector<std::string>> invalidCommandLines {
            { "nonsense" },
            { "validate" },
            { "validate", "--nonsense", "x" },
            { "validate", "/nonexistent/file" },
            { "diff", "/nonexistent/file", "/nonexistent/file" },
            { "status" },
            { "status", "--instance", "nowhere", "--token-file", write("token", "secret\n") },
            { "status", "--instance", "127.0.0.1:1", "--token-file", "/nonexistent/file" },
            { "explain", "--instance", "127.0.0.1:1" },
        };
        for (const auto& arguments : invalidCommandLines) {
            SCOPED_TRACE(testing::PrintToString(arguments));
            EXPECT_EQ(run(arguments), ExitCode::Usage);
            EXPECT_FALSE(m_err.str().empty());
        }
    }

    TEST_F(Client, AnInstanceThatDoesNotListenIsReportedAsUnreachable)
    {
        // Port 1 is reserved, so nothing listens on it on the loopback address.
        const auto token = write("token", "secret\n");
        EXPECT_EQ(run({ "status", "--instance", "127.0.0.1:1", "--token-file", token }), ExitCode::Unreachable);
        EXPECT_NE(m_err.str().find("127.0.0.1:1"), std::string::npos);
        EXPECT_EQ(m_err.str().find("secret"), std::string::npos);
    }

    TEST_F(Client, ValidateAcceptsAValidDocument)
    {
        const auto file = write("valid.yaml", validDocument);
        EXPECT_EQ(run({ "validate", file }), ExitCode::Ok) << m_out.str();
        EXPECT_EQ(m_out.str(), file + ": valid document\n");
    }

    TEST_F(Client, ValidateReportsEveryFaultOfDocumentsAndSettings)
    {
        const auto document = write("bad.yaml", "service: a b\nowner: me\nrevision: 0\nkind: plain\nregions: [x]\n");
        const auto settings = write("settings.yaml", "instance: one\nsurprise: 1\n");
        EXPECT_EQ(run({ "validate", document, settings }), ExitCode::Negative);
        EXPECT_NE(m_out.str().find(document + ":1: service:"), std::string::npos) << m_out.str();
        EXPECT_NE(m_out.str().find(document + ":3: revision:"), std::string::npos) << m_out.str();
        EXPECT_NE(m_out.str().find(settings + ":2: surprise:"), std::string::npos) << m_out.str();
        EXPECT_NE(m_out.str().find("peer_key"), std::string::npos) << m_out.str();
    }

    TEST_F(Client, ValidateReportsFaultsAsJson)
    {
        const auto file = write("bad.yaml", "service: x\nowner: me\nrevision: 0\nkind: plain\nregions: [x]\n");
        EXPECT_EQ(run({ "validate", "--json", file }), ExitCode::Negative);
        EXPECT_NE(m_out.str().find("\"valid\":false"), std::string::npos) << m_out.str();
        EXPECT_NE(m_out.str().find("\"line\":3,\"path\":\"revision\""), std::string::npos) << m_out.str();
    }

    TEST_F(Client, DiffExitsWithNegativeIfTheDocumentsDiffer)
    {
        const auto before = write("before.yaml", validDocument);
        const auto after = write("after.yaml", std::string(validDocument) + "queue_limit: 9\n");
        EXPECT_EQ(run({ "diff", before, before }), ExitCode::Ok);
        EXPECT_EQ(m_out.str(), "");
        EXPECT_EQ(run({ "diff", before, after }), ExitCode::Negative);
        EXPECT_EQ(m_out.str(), "queue_limit: 256 -> 9\n");
    }

} // namespace
} // namespace yuccashift::cli
