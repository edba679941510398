#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <boost/json/object.hpp>
#include <string>
#include <tl/expected.hpp>

namespace yuccashift::cli {

/** One question to the operators' listener of an instance. */
struct OperatorCall {
    Endpoint instance;
    std::string method = "GET";
    std::string target;
    std::string body;
    std::string token;
};

/** Why a question has no answer; for people. */
enum class CallFault {
    /** No whole answer arrived. */
    Unreachable,
    /** The credential was refused. */
    Unauthenticated,
    /** The instance answered with an error. */
    Refused,
};

struct CallFailure {
    CallFault fault = CallFault::Unreachable;
    std::string detail;
};

/** Asks and waits for the JSON object that is the answer. */
tl::expected<boost::json::object, CallFailure> ask(const OperatorCall&);

} // namespace yuccashift::cli
