#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/error.hpp"

#include <cstdint>

namespace yuccashift {

/** State of a request whose answer was interrupted before its end mark. */
struct InterruptedAnswer {
    /** Why the answer was interrupted; the caller gets this error if the answer cannot be continued. */
    ErrorKind cause = ErrorKind::BackendLost;
    bool idempotent = false;
    /** Whether the answer is a stream of numbered tokens, which can be continued at any token. */
    bool tokenStream = false;
    /** Whether any byte has been sent to the caller. */
    bool started = false;
    /** Number of complete tokens that have been sent to the caller. */
    std::uint32_t deliveredTokens = 0;
    /** Attempts made so far, including the interrupted one. */
    std::uint32_t attempts = 1;
    /** Attempts allowed for the request. */
    std::uint32_t maxAttempts = 1;
    /** Whether the retry budget allows another attempt. */
    bool budgetAllows = false;
    /** Whether the same server can continue: it is up and only the connection was lost. */
    bool sameServerUsable = false;
    /** Whether another server can take the request. */
    bool otherServerUsable = false;
    /** Time left until the request's deadline. */
    Duration remaining {};
};

enum class ResumeAction {
    SameServer,
    OtherServer,
    Fail,
};

struct ResumePlan {
    ResumeAction action = ResumeAction::Fail;
    /** Index of the token at which the stream continues; 0 sends the whole request again. */
    std::uint32_t offset = 0;
    /** Error for the caller if the action is Fail. */
    ErrorKind error = ErrorKind::AnswerIncomplete;
};

/** Decides whether an interrupted answer is continued, on which server and at which token. */
ResumePlan planResume(const InterruptedAnswer&);

} // namespace yuccashift
