#include "yuccashift/entry/request_recorder.hpp"

#include "tests/support/kept_log.hpp"

#include <gtest/gtest.h>
#include <string>

namespace yuccashift {
namespace {

    struct ARequestRecorder : testing::Test {
        std::string metrics() const { return series.renderPrometheus(); }

        test::KeptLog kept;
        Metrics series;
        RequestRecorder record { series };
    };

    TEST_F(ARequestRecorder, LogsTheReasonOfEveryKindOfError)
    {
        for (const auto& row : errorTable()) {
            const Error error { row.kind, {}, {}, {} };
            kept.lines.clear();
            record.recordEnd({ .requestId = "r1", .route = "drafts", .outcome = error.code(), .reason = reasonOf(error) });
            ASSERT_EQ(kept.lines.size(), 1u) << row.code;
            const auto& line = kept.lines.front();
            EXPECT_NE(line.find("request=r1 "), std::string::npos) << line;
            EXPECT_NE(line.find("outcome=" + std::string(row.code) + " "), std::string::npos) << line;
            EXPECT_EQ(line.find("why=\"\""), std::string::npos) << line;
            EXPECT_NE(metrics().find("yuccashift_requests_total{outcome=\"" + std::string(row.code) + "\",route=\"drafts\"} 1"), std::string::npos) << metrics();
        }
    }

    TEST_F(ARequestRecorder, UsesTheDetailOfAnErrorAsItsReason)
    {
        const Error error { ErrorKind::NotReady, "the two instances hold different configurations", {}, {} };
        EXPECT_EQ(reasonOf(error), "the two instances hold different configurations");
    }

    TEST_F(ARequestRecorder, SeparatesAnswersLaterAndSoonerThanPredicted)
    {
        record.recordPredictionError(milliseconds(100), milliseconds(400));
        record.recordPredictionError(milliseconds(100), milliseconds(90));
        record.recordPredictionError(milliseconds(100), milliseconds(80));
        EXPECT_NE(metrics().find("yuccashift_prediction_error_seconds_count{came=\"later\"} 1"), std::string::npos) << metrics();
        EXPECT_NE(metrics().find("yuccashift_prediction_error_seconds_count{came=\"sooner\"} 2"), std::string::npos);
    }

    TEST_F(ARequestRecorder, CountsCachedAndUncachedPromptTokensSeparately)
    {
        record.recordServerSend(1000, 600);
        record.recordServerSend(100, 400);
        EXPECT_NE(metrics().find("yuccashift_prompt_tokens_total{cache=\"expected\"} 700"), std::string::npos) << metrics();
        EXPECT_NE(metrics().find("yuccashift_prompt_tokens_total{cache=\"none\"} 400"), std::string::npos);
        EXPECT_NE(metrics().find("yuccashift_sends_total{to=\"server\"} 2"), std::string::npos);
    }

    TEST_F(ARequestRecorder, RecordsHistogramsByRoute)
    {
        record.recordEnd({ .requestId = "r1", .route = "drafts", .outcome = "ok", .duration = milliseconds(70), .timeToFirstByte = milliseconds(20) });
        EXPECT_NE(metrics().find("yuccashift_request_seconds_count{route=\"drafts\"} 1"), std::string::npos) << metrics();
        EXPECT_NE(metrics().find("yuccashift_first_byte_seconds_count{route=\"drafts\"} 1"), std::string::npos);
        EXPECT_TRUE(kept.lines.front().starts_with("request served")) << kept.lines.front();
    }

    // Ten thousand organisations must not take the series of everything else.
    TEST_F(ARequestRecorder, CountsTheFirstOrganisationsApartAndAllOthersTogether)
    {
        record.recordEnd({ .organisation = "clinic", .outcome = "ok" });
        EXPECT_NE(kept.lines.front().find("organisation=clinic "), std::string::npos) << kept.lines.front();
        record.recordEnd({ .organisation = "clinic", .outcome = "limit_exceeded" });
        record.recordEnd({ .organisation = "clinic", .outcome = "overloaded" });
        record.recordEnd({ .organisation = "clinic", .forwarded = true, .outcome = "ok" });
        for (int n = 0; n < 10'000; ++n) {
            const auto name = "school-" + std::to_string(n);
            record.recordEnd({ .organisation = name, .outcome = "ok" });
        }
        const auto text = metrics();
        for (const auto* outcome : { "served", "over_limit", "not_served" })
            EXPECT_NE(text.find("yuccashift_organisation_requests_total{organisation=\"clinic\",outcome=\"" + std::string(outcome) + "\"} 1"), std::string::npos) << outcome;
        EXPECT_NE(text.find("{organisation=\"(others)\",outcome=\"served\"} 9937"), std::string::npos);
    }

} // namespace
} // namespace yuccashift
