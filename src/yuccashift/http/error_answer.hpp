#pragma once

#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/error.hpp"

#include <string>

namespace yuccashift {

/** Body of an error answer in JSON. */
std::string errorBody(const Error&, std::string_view traceId);

/** Head of an error answer, with Retry-After where the kind has one. */
AnswerHead errorHead(const Error&);

/** The error as a server-sent event, for answers that have begun. */
std::string errorEvent(const Error&, std::string_view traceId);

} // namespace yuccashift
