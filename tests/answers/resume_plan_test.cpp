#include "yuccashift/answers/resume_plan.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    InterruptedAnswer resumable()
    {
        InterruptedAnswer answer;
        answer.idempotent = true;
        answer.tokenStream = true;
        answer.started = true;
        answer.deliveredTokens = 7;
        answer.maxAttempts = 3;
        answer.budgetAllows = true;
        answer.sameServerUsable = true;
        answer.otherServerUsable = true;
        answer.remaining = seconds(1);
        return answer;
    }

    struct Case {
        const char* name;
        void (*change)(InterruptedAnswer&);
        ResumeAction action;
        ErrorKind error;
    };

    const Case cases[] = {
        { "continues on the same server after the last token", [](InterruptedAnswer&) {}, ResumeAction::SameServer, ErrorKind::BackendLost },
        { "continues on another server if the same one is down", [](InterruptedAnswer& it) { it.sameServerUsable = false; }, ResumeAction::OtherServer, ErrorKind::BackendLost },
        { "fails if no server can continue", [](InterruptedAnswer& it) { it.sameServerUsable = it.otherServerUsable = false; }, ResumeAction::Fail, ErrorKind::BackendLost },
        { "never retries a non-idempotent request", [](InterruptedAnswer& it) { it.idempotent = false; }, ResumeAction::Fail, ErrorKind::BackendLost },
        { "never continues a plain answer that has been started", [](InterruptedAnswer& it) { it.tokenStream = false; }, ResumeAction::Fail, ErrorKind::BackendLost },
        { "sends a plain request to another server before its first byte", [](InterruptedAnswer& it) { it.tokenStream = it.started = false; it.deliveredTokens = 0; }, ResumeAction::OtherServer, ErrorKind::BackendLost },
        { "fails after the last allowed attempt", [](InterruptedAnswer& it) { it.attempts = 3; }, ResumeAction::Fail, ErrorKind::BackendLost },
        { "fails if the retry budget is used up", [](InterruptedAnswer& it) { it.budgetAllows = false; }, ResumeAction::Fail, ErrorKind::BackendLost },
        { "fails at the deadline", [](InterruptedAnswer& it) { it.remaining = Duration::zero(); }, ResumeAction::Fail, ErrorKind::DeadlineExceeded },
        { "reports a missing end mark as AnswerIncomplete", [](InterruptedAnswer& it) { it.cause = ErrorKind::AnswerIncomplete; it.attempts = 3; }, ResumeAction::Fail, ErrorKind::AnswerIncomplete },
    };

    TEST(AnInterruptedAnswer, IsContinuedOnlyWhereThatIsSafe)
    {
        for (const auto& it : cases) {
            auto answer = resumable();
            it.change(answer);
            const auto plan = planResume(answer);
            EXPECT_EQ(plan.action, it.action) << it.name;
            EXPECT_EQ(plan.error, it.error) << it.name;
            EXPECT_EQ(plan.offset, plan.action == ResumeAction::Fail ? 0 : answer.deliveredTokens) << it.name;
        }
    }

} // namespace
} // namespace yuccashift
