#include "yuccashift/node/export_loop.hpp"

#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/observe/otlp.hpp"

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr seconds exportInterval { 1 };
    constexpr std::size_t maxSpansPerExport = 512;
    constexpr seconds exportTimeout { 2 };
    constexpr std::size_t maxAnswerBytes = 64 * 1024;

} // namespace

asio::awaitable<void> runSpanExport(LoopContext context)
{
    auto& components = context.components;
    if (!components.settings.platform.collector)
        co_return;
    for (;;) {
        co_await sleepFor(exportInterval);
        const auto spans = components.spans.takeForExport(maxSpansPerExport);
        if (spans.empty())
            continue;
        BackendCall call;
        call.endpoint = *components.settings.platform.collector;
        call.request = { "POST", std::string(otlpPath), { { "Content-Type", std::string(otlpContentType) } }, otlpJson(spans) };
        call.deadline = components.clock.now() + exportTimeout;
        call.progressTimeout = exportTimeout;
        const auto answer = co_await sendAndCollect(*components.backends, std::move(call), maxAnswerBytes);
        components.metrics.counter("yuccashift_exported_spans_total", { { "outcome", answer ? "ok" : "failed" } }).add(spans.size());
    }
}

} // namespace yuccashift
