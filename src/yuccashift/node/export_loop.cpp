#include "yuccashift/node/export_loop.hpp"

#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/observe/otlp.hpp"

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr seconds exportInterval { 1 };
    constexpr std::size_t spansPerExport = 512;
    constexpr seconds exportTimeout { 2 };
    constexpr std::size_t mostAnswerBytes = 64 * 1024;

} // namespace

asio::awaitable<void> runSpanExport(LoopContext context)
{
    auto& parts = context.components;
    if (!parts.settings.platform.collector)
        co_return;
    for (;;) {
        co_await sleepFor(exportInterval);
        const auto spans = parts.spans.takeForExport(spansPerExport);
        if (spans.empty())
            continue;
        BackendCall call;
        call.endpoint = *parts.settings.platform.collector;
        call.request = { "POST", std::string(otlpPath), { { "Content-Type", std::string(otlpContentType) } }, otlpJson(spans) };
        call.deadline = parts.clock.now() + exportTimeout;
        call.progressTimeout = exportTimeout;
        const auto answer = co_await sendAndCollect(*parts.backends, std::move(call), mostAnswerBytes);
        parts.metrics.counter("yuccashift_exported_spans_total", { { "outcome", answer ? "ok" : "failed" } }).add(spans.size());
    }
}

} // namespace yuccashift
