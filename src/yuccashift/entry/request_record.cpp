#include "yuccashift/entry/request_record.hpp"

#include "yuccashift/kernel/log.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** Logged as `first_byte_ms` if no first byte arrived. */
    constexpr std::int64_t noFirstByte = -1;

} // namespace

std::string_view reasonOf(const Error& error)
{
    return error.detail.empty() ? traits(error.kind).summary : std::string_view(error.detail);
}

RequestRecord::RequestRecord(Metrics& metrics)
    : m_metrics(metrics)
    , m_serverSends(metrics.counter("yuccashift_sends_total", { { "to", "server" } }))
    , m_hopSends(metrics.counter("yuccashift_sends_total", { { "to", "instance" } }))
    , m_retries(metrics.counter("yuccashift_repeats_total"))
    , m_uncachedTokens(metrics.counter("yuccashift_prompt_tokens_total", { { "cache", "none" } }))
    , m_cachedTokens(metrics.counter("yuccashift_prompt_tokens_total", { { "cache", "expected" } }))
    , m_hopBytesSent(metrics.counter("yuccashift_hop_bytes_total", { { "direction", "out" } }))
    , m_hopBytesReceived(metrics.counter("yuccashift_hop_bytes_total", { { "direction", "back" } }))
    , m_laterThanPredicted(metrics.latency("yuccashift_prediction_error_seconds", { { "came", "later" } }))
    , m_soonerThanPredicted(metrics.latency("yuccashift_prediction_error_seconds", { { "came", "sooner" } }))
    , m_streamGaps(metrics.latency("yuccashift_stream_gap_seconds"))
{
}

void RequestRecord::ended(const RequestEnd& end)
{
    m_metrics.counter("yuccashift_requests_total", { { "outcome", end.outcome }, { "route", end.route } }).add();
    m_metrics.latency("yuccashift_request_seconds", { { "route", end.route } }).record(end.took);
    if (end.firstByte)
        m_metrics.latency("yuccashift_first_byte_seconds", { { "route", end.route } }).record(*end.firstByte);
    const auto firstByteMs = end.firstByte ? toMilliseconds(*end.firstByte) : noFirstByte;
    logInfo(end.outcome == "ok" ? "request served" : "request ended", { { "request", end.request }, { "route", end.route }, { "outcome", end.outcome }, { "why", end.reason }, { "took_ms", toMilliseconds(end.took) }, { "first_byte_ms", firstByteMs }, { "server", end.server }, { "peer", end.peer }, { "attempts", end.attempts }, { "config", end.configVersion } });
}

void RequestRecord::sentToServer(std::uint32_t promptTokens, std::uint32_t cachedTokens)
{
    const auto cached = std::min(promptTokens, cachedTokens);
    m_serverSends.add();
    m_cachedTokens.add(cached);
    m_uncachedTokens.add(promptTokens - cached);
}

void RequestRecord::sentToInstance(std::size_t bytes)
{
    m_hopSends.add();
    m_hopBytesSent.add(bytes);
}

void RequestRecord::cameFromInstance(std::size_t bytes)
{
    m_hopBytesReceived.add(bytes);
}

void RequestRecord::repeated()
{
    m_retries.add();
}

void RequestRecord::firstByte(Duration predicted, Duration observed)
{
    if (observed >= predicted)
        m_laterThanPredicted.record(observed - predicted);
    else
        m_soonerThanPredicted.record(predicted - observed);
}

void RequestRecord::streamGap(Duration gap)
{
    m_streamGaps.record(gap);
}

} // namespace yuccashift
