#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/error.hpp"

#include <cstdint>

namespace yuccashift {

/** What is known when an answer breaks off before its end mark. */
struct BrokenAnswer {
    /** How it broke off; becomes the error where nothing can be done. */
    ErrorKind cause = ErrorKind::BackendLost;
    bool idempotent = false;
    /** Whether it is a stream of numbered tokens, which can be cut and joined. */
    bool tokenStream = false;
    /** Whether any byte went to the caller. */
    bool started = false;
    /** Whole tokens that went to the caller. */
    std::uint32_t tokens = 0;
    /** Attempts made, the broken one included, and allowed. */
    std::uint32_t attempts = 1;
    std::uint32_t maxAttempts = 1;
    /** Whether the retry budget has room. */
    bool budgetAllows = false;
    /** Whether the server is up and only the connection was lost. */
    bool sameServerFit = false;
    bool otherServerFit = false;
    /** Time to the request's deadline. */
    Duration remaining {};
};

enum class ResumeAction {
    SameServer,
    OtherServer,
    Fail,
};

struct ResumePlan {
    ResumeAction action = ResumeAction::Fail;
    /** Token at which the stream goes on; 0 sends the request from its start. */
    std::uint32_t offset = 0;
    /** The answer where the action is Fail. */
    ErrorKind error = ErrorKind::AnswerIncomplete;
};

/** Decides whether a broken answer goes on, where, and at which token. */
ResumePlan planResume(const BrokenAnswer&);

} // namespace yuccashift
