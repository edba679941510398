#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <boost/json/object.hpp>
#include <string>
#include <tl/expected.hpp>

namespace yuccashift::cli {

/** A request to the operator API of an instance. */
struct OperatorCall {
    Endpoint instance;
    std::string method = "GET";
    std::string target;
    std::string body;
    std::string token;
};

/** Why a call failed. */
enum class CallFailureReason {
    /** No complete response with a JSON object was received. */
    Unreachable,
    /** The instance rejected the credential (HTTP status 401). */
    Unauthenticated,
    /** The instance responded with another HTTP error status. */
    ErrorStatus,
};

struct CallFailure {
    CallFailureReason reason = CallFailureReason::Unreachable;
    std::string detail;
};

/** Sends the call and blocks until the response, a JSON object, has arrived or the call fails. */
tl::expected<boost::json::object, CallFailure> callOperatorApi(const OperatorCall&);

} // namespace yuccashift::cli
