#include "yuccashift/answers/resume_plan.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    BrokenAnswer resumable()
    {
        BrokenAnswer answer;
        answer.idempotent = true;
        answer.tokenStream = true;
        answer.started = true;
        answer.tokens = 7;
        answer.maxAttempts = 3;
        answer.budgetAllows = true;
        answer.sameServerFit = true;
        answer.otherServerFit = true;
        answer.remaining = seconds(1);
        return answer;
    }

    struct Case {
        const char* name;
        void (*change)(BrokenAnswer&);
        ResumeAction action;
        ErrorKind error;
    };

    const Case cases[] = {
        { "continues on the same server after the last token", [](BrokenAnswer&) {}, ResumeAction::SameServer, ErrorKind::BackendLost },
        { "continues on another server if the same one is down", [](BrokenAnswer& it) { it.sameServerFit = false; }, ResumeAction::OtherServer, ErrorKind::BackendLost },
        { "fails if no server can continue", [](BrokenAnswer& it) { it.sameServerFit = it.otherServerFit = false; }, ResumeAction::Fail, ErrorKind::BackendLost },
        { "never retries a non-idempotent request", [](BrokenAnswer& it) { it.idempotent = false; }, ResumeAction::Fail, ErrorKind::BackendLost },
        { "never continues a plain answer that has been started", [](BrokenAnswer& it) { it.tokenStream = false; }, ResumeAction::Fail, ErrorKind::BackendLost },
        { "sends a plain request to another server before its first byte", [](BrokenAnswer& it) { it.tokenStream = it.started = false; it.tokens = 0; }, ResumeAction::OtherServer, ErrorKind::BackendLost },
        { "fails after the last allowed attempt", [](BrokenAnswer& it) { it.attempts = 3; }, ResumeAction::Fail, ErrorKind::BackendLost },
        { "fails if the retry budget is used up", [](BrokenAnswer& it) { it.budgetAllows = false; }, ResumeAction::Fail, ErrorKind::BackendLost },
        { "fails at the deadline", [](BrokenAnswer& it) { it.remaining = Duration::zero(); }, ResumeAction::Fail, ErrorKind::DeadlineExceeded },
        { "reports a missing end mark as AnswerIncomplete", [](BrokenAnswer& it) { it.cause = ErrorKind::AnswerIncomplete; it.attempts = 3; }, ResumeAction::Fail, ErrorKind::AnswerIncomplete },
    };

    TEST(ABrokenAnswer, IsContinuedOnlyWhereThatIsSafe)
    {
        for (const auto& it : cases) {
            auto answer = resumable();
            it.change(answer);
            const auto plan = planResume(answer);
            EXPECT_EQ(plan.action, it.action) << it.name;
            EXPECT_EQ(plan.error, it.error) << it.name;
            EXPECT_EQ(plan.offset, plan.action == ResumeAction::Fail ? 0 : answer.tokens) << it.name;
        }
    }

} // namespace
} // namespace yuccashift
