#include "yuccashift/answers/resume_plan.hpp"

namespace yuccashift {

namespace {

    ResumePlan failWith(ErrorKind error)
    {
        return { ResumeAction::Fail, 0, error };
    }

    // Bytes that the caller already has cannot be replaced, and only a token stream can be continued after them.
    bool canBeContinued(const BrokenAnswer& answer)
    {
        return !answer.started || answer.tokenStream;
    }

} // namespace

ResumePlan planResume(const BrokenAnswer& answer)
{
    if (!answer.idempotent || !canBeContinued(answer))
        return failWith(answer.cause);
    if (answer.remaining <= Duration::zero())
        return failWith(ErrorKind::DeadlineExceeded);
    if (answer.attempts >= answer.maxAttempts || !answer.budgetAllows)
        return failWith(answer.cause);
    // The same server still holds the KV cache of the tokens that it generated.
    if (answer.sameServerFit && answer.tokenStream)
        return { ResumeAction::SameServer, answer.tokens, answer.cause };
    if (answer.otherServerFit)
        return { ResumeAction::OtherServer, answer.tokens, answer.cause };
    return failWith(answer.cause);
}

} // namespace yuccashift
