#pragma once

#include "yuccashift/kernel/error.hpp"
#include "yuccashift/observe/trace.hpp"

#include <string>
#include <string_view>

namespace yuccashift {

class Coordinator;
class Gateway;
struct GatewayComponents;

/** Returns the state of the instance as JSON, without secrets. */
std::string statusJson(GatewayComponents&, const Coordinator&);

/** Returns the stored spans of a trace as JSON. */
std::string traceJson(const GatewayComponents&, const TraceId&);

/**
 * Returns as JSON where a described request would be placed and why. The body
 * is a JSON object with organisation, method, path, model and prompt. Fails with
 * MalformedRequest, Forbidden or the error of the route lookup.
 */
Result<std::string> explainJson(GatewayComponents&, Gateway&, std::string_view body);

} // namespace yuccashift
