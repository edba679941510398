#include "benchmarks/capacity/measure.hpp"

#include "yuccashift/kernel/random.hpp"
#include "yuccashift/observe/metrics.hpp"
#include "yuccashift/observe/otlp.hpp"
#include "yuccashift/observe/trace.hpp"

namespace yuccashift::capacity {

namespace {

    constexpr auto seriesSizes = { 64.0, 256.0, 1024.0, 4096.0 };
    constexpr auto spanSizes = { 64.0, 256.0, 1024.0, 4096.0 };

    void fill(Metrics& metrics, std::size_t series)
    {
        for (std::size_t n = 0; n < series; ++n)
            metrics.latency("yuccashift_request_seconds", { { "service", std::to_string(n) } }).record(milliseconds(n));
    }

    Span makeSpan(RandomSource& random)
    {
        Span span;
        span.context = startTrace(random);
        span.name = "backend exchange";
        span.instance = "ikeja-hall-entry-7";
        span.attributes = { { "service", "yucca-draft" }, { "backend", "worker-1182" }, { "outcome", "answered" } };
        return span;
    }

} // namespace

void addObserveSlopes(Slopes& slopes)
{
    addSlope(slopes, measureSlope("metrics.memory", "bytes", "latency series", seriesSizes, [](std::size_t n) {
        Metrics metrics;
        return heapBytesKeptBy([&] { fill(metrics, n); });
    }));
    addSlope(slopes, measureSlope("metrics.render", "us", "latency series", seriesSizes, [](std::size_t n) {
        Metrics metrics;
        fill(metrics, n);
        return microsecondsOf([&] { metrics.renderPrometheus(); });
    }));
    addSlope(slopes, measureSlope("metrics.record", "us", "latency series", seriesSizes, [](std::size_t n) {
        Metrics metrics;
        fill(metrics, n);
        return microsecondsOf([&] { metrics.latency("yuccashift_request_seconds", { { "service", "7" } }).record(milliseconds(5)); });
    }));
    addSlope(slopes, measureSlope("span.memory", "bytes", "span", spanSizes, [](std::size_t n) {
        SeededRandom random(1);
        SpanBuffer buffer(n);
        return heapBytesKeptBy([&] {
            for (std::size_t k = 0; k < 2 * n; ++k)
                buffer.add(makeSpan(random));
        });
    }));
    addSlope(slopes, measureSlope("span.export", "us", "span", spanSizes, [](std::size_t n) {
        SeededRandom random(1);
        std::vector<Span> spans;
        for (std::size_t k = 0; k < n; ++k)
            spans.push_back(makeSpan(random));
        return microsecondsOf([&] { otlpJson(spans); });
    }));
}

} // namespace yuccashift::capacity
