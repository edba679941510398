#pragma once

#include "yuccashift/kernel/error.hpp"
#include "yuccashift/observe/trace.hpp"

#include <string>
#include <string_view>

namespace yuccashift {

class Coordinator;
class Gateway;
struct Parts;

/** Returns the state of the instance as JSON, without secrets. */
std::string statusJson(Parts&, const Coordinator&);

/** Returns the stored spans of a trace as JSON. */
std::string traceJson(const Parts&, const TraceId&);

/**
 * Returns as JSON where a described request would be placed and why. The body
 * is a JSON object with organisation, method, path, model and prompt. Fails with
 * MalformedRequest, Forbidden or the error of the route lookup.
 */
Result<std::string> explainJson(Parts&, Gateway&, std::string_view body);

} // namespace yuccashift
