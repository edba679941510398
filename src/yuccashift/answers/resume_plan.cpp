#include "yuccashift/answers/resume_plan.hpp"

namespace yuccashift {

namespace {

    ResumePlan failWith(ErrorKind error)
    {
        return { ResumeAction::Fail, 0, error };
    }

    // Bytes that the caller already has cannot be replaced, and only a token stream can be continued after them.
    bool canBeContinued(const InterruptedAnswer& answer)
    {
        return !answer.started || answer.tokenStream;
    }

} // namespace

ResumePlan planResume(const InterruptedAnswer& answer)
{
    if (!answer.idempotent || !canBeContinued(answer))
        return failWith(answer.cause);
    if (answer.remaining <= Duration::zero())
        return failWith(ErrorKind::DeadlineExceeded);
    if (answer.attempts >= answer.maxAttempts || !answer.budgetAllows)
        return failWith(answer.cause);
    // The same server still holds the KV cache of the tokens that it generated.
    if (answer.sameServerUsable && answer.tokenStream)
        return { ResumeAction::SameServer, answer.deliveredTokens, answer.cause };
    if (answer.otherServerUsable)
        return { ResumeAction::OtherServer, answer.deliveredTokens, answer.cause };
    return failWith(answer.cause);
}

} // namespace yuccashift
