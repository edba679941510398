#pragma once

#include "yuccashift/kernel/error.hpp"
#include "yuccashift/observe/trace.hpp"

#include <string>
#include <string_view>

namespace yuccashift {

class Coordinator;
class Gateway;
struct Parts;

/** The instance's state in JSON, without secrets. */
std::string statusJson(Parts&, const Coordinator&);

/** The spans held of one trace in JSON. */
std::string traceJson(const Parts&, const TraceId&);

/**
 * How a described request would be placed and why, in JSON. The body names
 * service, organisation, method, path, model and prompt.
 */
Result<std::string> explainJson(Parts&, Gateway&, std::string_view body);

} // namespace yuccashift
