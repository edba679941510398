#include "yuccashift/http/error_answer.hpp"

#include <boost/json.hpp>

namespace yuccashift {

std::string errorBody(const Error& error, std::string_view traceId)
{
    const auto& row = traits(error.kind);
    const auto message = error.detail.empty() ? row.summary : std::string_view(error.detail);
    const boost::json::object fields {
        { "code", row.code },
        { "message", message },
        { "runState", toString(error.effectiveRunState()) },
        { "retrySafe", row.retrySafe },
        { "traceId", traceId },
    };
    return boost::json::serialize(boost::json::object { { "error", fields } });
}

std::string errorEvent(const Error& error, std::string_view traceId)
{
    return "data: " + errorBody(error, traceId) + "\n\n";
}

AnswerHead errorHead(const Error& error)
{
    const auto& row = traits(error.kind);
    AnswerHead head { row.httpStatus, { { "Content-Type", "application/json" } }, {} };
    auto wait = std::chrono::seconds(row.retryAfterSeconds);
    if (error.retryAfter)
        wait = std::chrono::ceil<std::chrono::seconds>(*error.retryAfter);
    if (wait.count() > 0)
        head.headers.push_back({ "Retry-After", std::to_string(wait.count()) });
    return head;
}

} // namespace yuccashift
