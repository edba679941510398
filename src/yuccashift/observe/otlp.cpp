#include "yuccashift/observe/otlp.hpp"

#include "yuccashift/observe/trace.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <map>

namespace yuccashift {

namespace {

    namespace json = boost::json;

    // Enum values of SpanKind and StatusCode in OTLP.
    constexpr int spanKindServer = 2;
    constexpr int statusOk = 1;
    constexpr int statusError = 2;

    json::object attribute(std::string_view key, std::string_view value)
    {
        return { { "key", key }, { "value", { { "stringValue", value } } } };
    }

    // OTLP/JSON encodes 64-bit integers as decimal strings.
    std::string unixNanoseconds(WallTime time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
    }

    json::object spanJson(const Span& span)
    {
        json::array attributes;
        for (const auto& [key, value] : span.attributes)
            attributes.push_back(attribute(key, value));
        const auto end = span.start + std::chrono::duration_cast<WallTime::duration>(span.duration);
        json::object object {
            { "traceId", toHex(span.context.traceId) },
            { "spanId", toHex(span.context.spanId) },
            { "name", span.name },
            { "kind", spanKindServer },
            { "startTimeUnixNano", unixNanoseconds(span.start) },
            { "endTimeUnixNano", unixNanoseconds(end) },
            { "attributes", std::move(attributes) },
            { "status", { { "code", span.failed ? statusError : statusOk } } },
        };
        if (span.parentId != SpanId {})
            object["parentSpanId"] = toHex(span.parentId);
        return object;
    }

    json::object resourceJson(const InstanceId& instance, json::array spans)
    {
        return {
            { "resource", { { "attributes", json::array { attribute("service.name", "yuccashift"), attribute("service.instance.id", instance) } } } },
            { "scopeSpans", json::array { json::object { { "scope", { { "name", "yuccashift" } } }, { "spans", std::move(spans) } } } },
        };
    }

} // namespace

std::string otlpJson(std::span<const Span> spans)
{
    std::map<InstanceId, json::array> byInstance;
    for (const auto& span : spans)
        byInstance[span.instance].push_back(spanJson(span));
    json::array resources;
    for (auto& [instance, instanceSpans] : byInstance)
        resources.push_back(resourceJson(instance, std::move(instanceSpans)));
    return json::serialize(json::object { { "resourceSpans", std::move(resources) } });
}

} // namespace yuccashift
