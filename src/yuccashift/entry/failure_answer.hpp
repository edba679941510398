#pragma once

#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/random.hpp"

#include <string>

namespace yuccashift {

/** An answer of this instance's own. */
struct FailureAnswer {
    AnswerHead head;
    std::string body;
};

/**
 * The answer to a caller for a failure. A status that promises that nothing ran
 * is used only where that is certain; it names a time to come back, drawn so
 * that callers refused together do not return together.
 */
FailureAnswer failureAnswer(const Error&, Duration timeLeft, RandomSource&);

} // namespace yuccashift
