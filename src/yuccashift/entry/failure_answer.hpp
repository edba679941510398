#pragma once

#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/random.hpp"

#include <string>

namespace yuccashift {

/** An answer that this instance generates itself. */
struct FailureAnswer {
    AnswerHead head;
    std::string body;
};

/**
 * Builds the answer to a caller for a failure. A status by which callers
 * conclude that the request has not run is used only if that is certain. Such an
 * answer has a `Retry-After` header with a random delay, so that callers refused
 * at the same time do not retry at the same time.
 */
FailureAnswer failureAnswer(const Error&, Duration timeLeft, RandomSource&);

} // namespace yuccashift
