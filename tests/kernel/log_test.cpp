#include "yuccashift/kernel/log.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    TEST(LogLine, StartsWithTheMessageAndContinuesWithItsFields)
    {
        EXPECT_EQ(formatLogLine("document accepted", { { "service", "pass-ledger" }, { "revision", 12 } }),
            "document accepted service=pass-ledger revision=12");
    }

    TEST(LogLine, QuotesValuesAndEscapesControlCharacters)
    {
        EXPECT_EQ(formatLogLine("a\nb", { { "text", "two words" }, { "quote", "a\"\n" }, { "empty", "" } }),
            "a b text=\"two words\" quote=\"a\\\"\\x0a\" empty=\"\"");
    }

    TEST(LogLine, RedactsTheValueOfAFieldThatNamesASecret)
    {
        for (const auto* key : { "peer_key", "operator_token", "authorization", "credential_sha256" })
            EXPECT_EQ(formatLogLine("x", { { key, "hunter2" } }).find("hunter2"), std::string::npos) << key;
    }

    TEST(Log, WritesOnlyLinesAtOrAboveTheConfiguredLevel)
    {
        EXPECT_TRUE(initialiseLog("warning", "entry-1"));
        testing::internal::CaptureStderr();
        logInfo("hidden");
        logWarning("shown", { { "n", 1 } });
        const std::string written = testing::internal::GetCapturedStderr();
        EXPECT_EQ(written.find("hidden"), std::string::npos);
        EXPECT_NE(written.find("WARNING entry-1 shown n=1"), std::string::npos) << written;
    }

    TEST(Log, FallsBackToInfoForAnUnknownLevelAndReturnsFalse)
    {
        EXPECT_FALSE(initialiseLog("loud", "entry-1"));
        testing::internal::CaptureStderr();
        logDebug("hidden");
        logInfo("shown");
        const std::string written = testing::internal::GetCapturedStderr();
        EXPECT_EQ(written.find("hidden"), std::string::npos);
        EXPECT_NE(written.find("shown"), std::string::npos);
    }

} // namespace
} // namespace yuccashift
