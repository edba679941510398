#pragma once

#include <span>
#include <string>
#include <string_view>

namespace yuccashift {

struct Span;

/** Media type and path of an export to a collector. */
constexpr std::string_view otlpPath = "/v1/traces";
constexpr std::string_view otlpContentType = "application/json";

/** The spans as one ExportTraceServiceRequest in OTLP/JSON, a resource for each instance. */
std::string otlpJson(std::span<const Span>);

} // namespace yuccashift
