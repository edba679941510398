#pragma once

#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/error.hpp"

#include <string>

namespace yuccashift {

/** Returns the JSON body of an error answer. */
std::string errorBody(const Error&, std::string_view traceId);

/** Returns the head of an error answer, with Retry-After if the error or its kind sets a delay. */
AnswerHead errorHead(const Error&);

/** Returns the error as a server-sent event, for event streams that have begun. */
std::string errorEvent(const Error&, std::string_view traceId);

} // namespace yuccashift
