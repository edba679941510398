#pragma once

#include <span>
#include <string>
#include <string_view>

namespace yuccashift {

struct Span;

/** Path and media type of an export request to an OTLP collector. */
constexpr std::string_view otlpPath = "/v1/traces";
constexpr std::string_view otlpContentType = "application/json";

/** Encodes the spans as one ExportTraceServiceRequest in OTLP/JSON, with one resource per instance. */
std::string otlpJson(std::span<const Span>);

} // namespace yuccashift
